package org.quetzalshunt.core.store;

/**
 * Adaptive timeout of calls to the shared map.
 *
 * <p>Load patterns: a store that loses some of its answers, and a store whose latency rises sixtyfold. The first needs
 * a short timeout, since every lost answer costs its caller the whole timeout; with the second, a short timeout would
 * fail every call. The timeout therefore follows a moving average of the latency, and doubles with every call that is
 * not answered.
 */
public final class ResponseTimeout {
    /** Twenty times the typical latency of an append, 7 ms. */
    private static final double MINIMUM_MILLIS = 150;

    /** Later answers are of no use to callers, who wait three seconds for a whole turn. */
    private static final double MAXIMUM_MILLIS = 1_200;

    /** Multiple of the average latency that leaves room for calls that queue behind others. */
    private static final double AVERAGE_MULTIPLE = 5;

    /** Weight of the newest latency in the moving average, which therefore covers about the last ten answers. */
    private static final double SMOOTHING_FACTOR = 0.1;

    private double averageMillis;
    private double timeoutMillis = MINIMUM_MILLIS;

    private ResponseTimeout() {}

    /** Creates the timeout of a map that has not been called yet. */
    public static ResponseTimeout create() {
        return new ResponseTimeout();
    }

    /** Timeout of the next call, in milliseconds. */
    public long millis() {
        return (long) timeoutMillis;
    }

    /** Records the latency of an answered call. */
    public void recordLatency(long latencyMillis) {
        averageMillis += SMOOTHING_FACTOR * (latencyMillis - averageMillis);
        double unboundedMillis =
                Math.max(MINIMUM_MILLIS, AVERAGE_MULTIPLE * Math.max(averageMillis, latencyMillis / 2.0));
        timeoutMillis = Math.min(MAXIMUM_MILLIS, unboundedMillis);
    }

    /** Records a call that timed out or failed. */
    public void recordFailure() {
        timeoutMillis = Math.min(MAXIMUM_MILLIS, 2 * timeoutMillis);
    }
}
