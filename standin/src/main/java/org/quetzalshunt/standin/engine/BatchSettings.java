package org.quetzalshunt.standin.engine;

/**
 * Speed and capacity of the batch.
 *
 * @param slots maximum number of requests that run concurrently
 * @param waitingLimit maximum number of requests that wait for a slot; further ones get status 503
 * @param prefillTokensPerSecond prefill rate for prompt tokens outside the cache
 * @param prefillChunkTokens maximum number of prompt tokens processed in one step, so that a long prompt slows the
 *     other streams down and does not stop them
 * @param stepMicros duration of one step, in which each running stream emits one token, in microseconds
 * @param stepMicrosPerStream time that each running stream adds to a step, in microseconds
 */
public record BatchSettings(
        int slots,
        int waitingLimit,
        int prefillTokensPerSecond,
        int prefillChunkTokens,
        long stepMicros,
        long stepMicrosPerStream) {
    private static final long MICROS_PER_SECOND = 1_000_000;

    /** About 80 tokens a second for one stream and 60 for each of eight; 10,000 prompt tokens a second. */
    public static BatchSettings defaults() {
        return new BatchSettings(8, 256, 10_000, 512, 12_000, 500);
    }

    /** Steps of one millisecond, for tests. */
    public static BatchSettings quick() {
        return new BatchSettings(8, 256, 1_000_000, 4_096, 1_000, 0);
    }

    /** Copy with another number of slots. */
    public BatchSettings withSlots(int value) {
        return new BatchSettings(
                value, waitingLimit, prefillTokensPerSecond, prefillChunkTokens, stepMicros, stepMicrosPerStream);
    }

    /** Duration of a step with this number of streams and of prompt tokens to prefill. */
    long stepMicros(int streams, int prefillTokens) {
        return stepMicros + stepMicrosPerStream * streams + prefillTokens * MICROS_PER_SECOND / prefillTokensPerSecond;
    }
}
