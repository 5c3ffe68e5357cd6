package org.quetzalshunt.core.routing;

/**
 * How fast the engines of one service are, as seen lately: learnt from their answers, so that nothing is taken from a
 * sheet.
 */
final class EngineSpeed {
    /** Assumed before anything was read, in tokens a millisecond. */
    private static final double FIRST_READ_TOKENS_PER_MILLI = 100;

    /** Assumed before anything was generated. */
    private static final double FIRST_TOKENS_PER_RUN = 128;

    /** Prompts shorter than this say little: the way and the engine's first step outweigh their reading. */
    private static final long LEAST_READ_TOKENS = 2_000;

    /** Weight of the newest run: about the last hundred count. */
    private static final double RUN_WEIGHT = 0.01;

    /** Part of all readings that are slower than the speed believed in: most share their engine with others. */
    private static final double SLOWER_PART = 0.9;

    /** How far one reading moves the speed, as a part of it. */
    private static final double READ_STEP = 0.05;

    private double readTokensPerMilli = FIRST_READ_TOKENS_PER_MILLI;
    private double tokensPerRun = FIRST_TOKENS_PER_RUN;

    /**
     * An engine read a prompt and began its answer. The speed follows a quantile of the readings by steps of fixed size, so
     * that a prompt which the engine held against expectation, and so seems to have read in no time, counts as one reading.
     */
    void read(long tokens, long tookMillis) {
        if (tokens < LEAST_READ_TOKENS) {
            return;
        }
        double seen = tokens / (double) Math.max(1, tookMillis);
        double step = seen > readTokensPerMilli ? SLOWER_PART : SLOWER_PART - 1;
        readTokensPerMilli *= 1 + READ_STEP * step;
    }

    /** An engine generated an answer after its first event. */
    void generated(long tokens) {
        tokensPerRun += RUN_WEIGHT * (tokens - tokensPerRun);
    }

    double readMillis(long tokens) {
        return tokens / readTokensPerMilli;
    }

    double tokensPerRun() {
        return tokensPerRun;
    }
}
