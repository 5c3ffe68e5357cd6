package org.quetzalshunt.core.dispatch;

import java.util.SplittableRandom;

/**
 * Times at which refused first turns may return.
 *
 * <p>Load pattern: a burst is refused within a fraction of a second. If all returned after the same time, they would be
 * the next burst. Each gets a later time than those refused before it, at the distance in which this VM sends one first
 * turn.
 */
final class ReturnTimes {
    private static final long MINIMUM_MILLIS = 100;

    /** Callers honour at most this part of their remaining time. */
    private static final double MAXIMUM_PART = 1 / 3.0;

    /** Part of the longest time over which those return for whom no room is expected before. */
    private static final double LAST_PART = 0.4;

    private final SplittableRandom random;
    private double lastMillis = Long.MIN_VALUE / 2;

    ReturnTimes(SplittableRandom random) {
        this.random = random;
    }

    /**
     * Returns the time after which a refused first turn may return.
     *
     * @param waitMillis expected wait for a slot
     * @param perMilli first turns per millisecond that this VM sends
     * @param leftMillis time that the caller has left
     */
    long retryAfterMillis(long nowMillis, double waitMillis, double perMilli, long leftMillis) {
        long maximum = Math.max(MINIMUM_MILLIS, (long) (leftMillis * MAXIMUM_PART));
        double earliest = nowMillis + Math.max(MINIMUM_MILLIS, waitMillis);
        double next = Math.max(earliest, lastMillis + 1 / perMilli);
        if (next > nowMillis + maximum) {
            // Spread, since all that cannot be given a time of their own would otherwise return at the same moment.
            return Math.round(maximum * (1 - LAST_PART * random.nextDouble()));
        }
        lastMillis = next;
        return Math.round(next - nowMillis);
    }
}
