package org.quetzalshunt.core.routing;

/**
 * Recent prefill speed and answer length of the engines of one service, estimated from their answers so that nothing
 * has to be configured.
 */
final class EngineSpeed {
    /** Assumed before the first measurement, in tokens per millisecond. */
    private static final double INITIAL_PREFILL_TOKENS_PER_MILLI = 100;

    /** Assumed before the first answer. */
    private static final double INITIAL_TOKENS_PER_ANSWER = 128;

    /** Shorter prompts are ignored: network latency and the first engine step outweigh their prefill time. */
    private static final long MINIMUM_PREFILL_TOKENS = 2_000;

    /** Weight of the newest answer, so that about the last hundred count. */
    private static final double ANSWER_WEIGHT = 0.01;

    /**
     * Share of measurements that are slower than the estimate. Most prefills share their engine with other requests, so
     * that the true speed is near the fastest measurements.
     */
    private static final double SLOWER_SHARE = 0.9;

    /** Relative change of the estimate per measurement. */
    private static final double PREFILL_STEP = 0.05;

    private double prefillTokensPerMilli = INITIAL_PREFILL_TOKENS_PER_MILLI;
    private double tokensPerAnswer = INITIAL_TOKENS_PER_ANSWER;

    /**
     * Updates the estimate with the prefill of one prompt. The estimate follows a quantile of the measured speeds in
     * steps of fixed relative size, so that an outlier, such as the near-zero time of a prompt that was unexpectedly
     * cached, counts no more than any other measurement above the estimate.
     */
    void recordPrefill(long tokens, long tookMillis) {
        if (tokens < MINIMUM_PREFILL_TOKENS) {
            return;
        }
        double measured = tokens / (double) Math.max(1, tookMillis);
        double step = measured > prefillTokensPerMilli ? SLOWER_SHARE : SLOWER_SHARE - 1;
        prefillTokensPerMilli *= 1 + PREFILL_STEP * step;
    }

    /** Updates the mean answer length with the number of tokens generated after the first event of an answer. */
    void recordGeneration(long tokens) {
        tokensPerAnswer += ANSWER_WEIGHT * (tokens - tokensPerAnswer);
    }

    double prefillMillis(long tokens) {
        return tokens / prefillTokensPerMilli;
    }

    double tokensPerAnswer() {
        return tokensPerAnswer;
    }
}
