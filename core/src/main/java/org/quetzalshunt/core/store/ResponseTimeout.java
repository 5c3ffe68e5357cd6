package org.quetzalshunt.core.store;

/**
 * How long to wait for an answer before the call is made again.
 *
 * <p>Load pattern: a map that loses some answers, and one that answers sixty times as slowly. A short limit serves the
 * first, since a lost answer costs its caller the whole limit; it would make every call of the second fail. So the limit
 * follows the answers seen, and doubles with each that does not come.
 */
public final class ResponseTimeout {
    /** Twenty times the usual answer, 7 ms for an append. */
    private static final double LEAST_MILLIS = 150;

    /** Answers that take longer are of no use to callers who wait three seconds for a whole turn. */
    private static final double MOST_MILLIS = 1_200;

    /** Room above the average for answers that wait behind others. */
    private static final double TIMES_AVERAGE = 5;

    /** Weight of the newest answer in the average: about the last ten count. */
    private static final double WEIGHT = 0.1;

    private double averageMillis;
    private double limitMillis = LEAST_MILLIS;

    private ResponseTimeout() {}

    /** A limit for a map not yet asked. */
    public static ResponseTimeout create() {
        return new ResponseTimeout();
    }

    /** The limit for the next call, in milliseconds. */
    public long millis() {
        return (long) limitMillis;
    }

    /** An answer came. */
    public void answered(long tookMillis) {
        averageMillis += WEIGHT * (tookMillis - averageMillis);
        double wanted = Math.max(LEAST_MILLIS, TIMES_AVERAGE * Math.max(averageMillis, tookMillis / 2.0));
        limitMillis = Math.min(MOST_MILLIS, wanted);
    }

    /** No answer came within the limit, or the call failed. */
    public void unanswered() {
        limitMillis = Math.min(MOST_MILLIS, 2 * limitMillis);
    }
}
