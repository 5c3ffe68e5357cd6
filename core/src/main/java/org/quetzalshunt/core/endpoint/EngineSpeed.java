package org.quetzalshunt.core.endpoint;

/**
 * How fast the engines of one service are, as seen lately: learnt from their answers, so that nothing is taken from a
 * sheet.
 */
final class EngineSpeed {
    /** Assumed before anything was read, in tokens a millisecond. */
    private static final double FIRST_READ_TOKENS_PER_MILLI = 100;

    /** Assumed before anything was generated. */
    private static final double FIRST_MILLIS_PER_TOKEN = 2;

    private static final double FIRST_TOKENS_PER_RUN = 128;

    /** Prompts shorter than this say little: the way and the engine's first step outweigh their reading. */
    private static final long LEAST_READ_TOKENS = 2_000;

    /** Weight of the newest run: about the last hundred count. */
    private static final double RUN_WEIGHT = 0.01;

    /**
     * Part of the believed speed that it loses with each slower reading. Most readings share their engine with others
     * and look slow; the fastest of about the last hundred is near the engine's own speed.
     */
    private static final double READ_DECAY = 0.005;

    private double readTokensPerMilli = FIRST_READ_TOKENS_PER_MILLI;
    private double millisPerToken = FIRST_MILLIS_PER_TOKEN;
    private double tokensPerRun = FIRST_TOKENS_PER_RUN;

    /** An engine read a prompt and began its answer. */
    void read(long tokens, long tookMillis) {
        if (tokens < LEAST_READ_TOKENS) {
            return;
        }
        double seen = tokens / (double) Math.max(1, tookMillis);
        double faded = readTokensPerMilli * (1 - READ_DECAY) + READ_DECAY * seen;
        readTokensPerMilli = Math.max(seen, faded);
    }

    /** An engine generated an answer after its first event. */
    void generated(long tokens, double millisForToken) {
        tokensPerRun += RUN_WEIGHT * (tokens - tokensPerRun);
        millisPerToken += RUN_WEIGHT * (millisForToken - millisPerToken);
    }

    double readMillis(long tokens) {
        return tokens / readTokensPerMilli;
    }

    double millisPerToken() {
        return millisPerToken;
    }

    double tokensPerRun() {
        return tokensPerRun;
    }
}
