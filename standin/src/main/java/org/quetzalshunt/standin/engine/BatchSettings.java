package org.quetzalshunt.standin.engine;

/**
 * Speed and size of the batch.
 *
 * @param slots requests that run at once
 * @param waitingLimit requests that wait for a slot; over it, 503
 * @param prefillTokensPerSecond speed at which prompt tokens outside the cache are read
 * @param prefillChunkTokens prompt tokens read in one step at most, so that a long prompt slows the streams that run
 *     beside it and does not stop them
 * @param stepMicros time of one step, which gives each running stream one token, in microseconds
 * @param stepMicrosPerStream what each running stream adds to a step, in microseconds
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

    /** Steps of a millisecond, for tests. */
    public static BatchSettings quick() {
        return new BatchSettings(8, 256, 1_000_000, 4_096, 1_000, 0);
    }

    /** The same with another number of slots. */
    public BatchSettings withSlots(int value) {
        return new BatchSettings(
                value, waitingLimit, prefillTokensPerSecond, prefillChunkTokens, stepMicros, stepMicrosPerStream);
    }

    /** Time of a step that carries so many streams and reads so many prompt tokens. */
    long stepMicros(int streams, int prefillTokens) {
        return stepMicros + stepMicrosPerStream * streams + prefillTokens * MICROS_PER_SECOND / prefillTokensPerSecond;
    }
}
