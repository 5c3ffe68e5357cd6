package org.quetzalshunt.core.decision.admission;

/** Work that a service started from this entry over the last seconds, in tokens of work per millisecond. */
public final class DrainRate {
    private static final int BUCKETS = 10;

    /** Ten seconds in all: several answers long, and short enough to follow the loss of an endpoint. */
    private static final long BUCKET_MILLIS = 1_000;

    private final long[] work = new long[BUCKETS];
    private long bucket = Long.MIN_VALUE;

    private DrainRate() {}

    /** A rate without samples. */
    public static DrainRate create() {
        return new DrainRate();
    }

    /** Counts work that started. */
    public void add(long nowMillis, long tokensOfWork) {
        advance(nowMillis);
        work[Math.floorMod(bucket, BUCKETS)] += tokensOfWork;
    }

    /** Mean over the last seconds. */
    public double perMillis(long nowMillis) {
        advance(nowMillis);
        long sum = 0;
        for (long value : work) {
            sum += value;
        }
        return sum / (double) (BUCKETS * BUCKET_MILLIS);
    }

    private void advance(long nowMillis) {
        long present = Math.floorDiv(nowMillis, BUCKET_MILLIS);
        long from = Math.max(bucket + 1, present - BUCKETS + 1);
        for (long index = from; index <= present; index++) {
            work[Math.floorMod(index, BUCKETS)] = 0;
        }
        bucket = Math.max(bucket, present);
    }
}
