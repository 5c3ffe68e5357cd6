package org.quetzalshunt.core.decision.admission;

/**
 * Rate at which requests of a service leave the queue of this entry to start, in tokens of work per millisecond over
 * the last seconds.
 */
public final class DrainRate {
    private static final int BUCKETS = 10;

    /** Ten seconds in total: several answers long, yet short enough to reflect the loss of an endpoint. */
    private static final long BUCKET_MILLIS = 1_000;

    private final long[] work = new long[BUCKETS];
    private long bucket = Long.MIN_VALUE;

    private DrainRate() {}

    /** Creates a rate without samples. */
    public static DrainRate create() {
        return new DrainRate();
    }

    /** Records work that started. */
    public void add(long nowMillis, long tokensOfWork) {
        advance(nowMillis);
        work[Math.floorMod(bucket, BUCKETS)] += tokensOfWork;
    }

    /** Returns the mean over the last seconds. */
    public double workPerMillis(long nowMillis) {
        advance(nowMillis);
        long sum = 0;
        for (long value : work) {
            sum += value;
        }
        return sum / (double) (BUCKETS * BUCKET_MILLIS);
    }

    private void advance(long nowMillis) {
        long currentBucket = Math.floorDiv(nowMillis, BUCKET_MILLIS);
        long from = Math.max(bucket + 1, currentBucket - BUCKETS + 1);
        for (long index = from; index <= currentBucket; index++) {
            work[Math.floorMod(index, BUCKETS)] = 0;
        }
        bucket = Math.max(bucket, currentBucket);
    }
}
