package org.quetzalshunt.core.admission;

/**
 * When the caller of a refused first turn should return.
 *
 * <p>Load pattern: an account sends several times its quota for many seconds. Tokens are then kept for returning
 * programs all the time, and each program starts as late as its promise allows. With long promises, every program would
 * start too late to end in time.
 */
public final class ReturnTimes {
    /**
     * Longest time for which tokens are kept for a program that will return. A program of nine requests of 150 ms with
     * an objective of 1.5 times its duration can lose 675 ms in total.
     */
    private static final long MAXIMUM_PROMISE_MILLIS = 300;

    /** Callers honour a retry delay only up to this fraction of their remaining time. */
    private static final long REMAINING_TIME_DIVISOR = 3;

    /** Programs without a promise are spread over this part of their delay, so that they do not return at once. */
    private static final long SPREAD_DIVISOR = 3;

    private ReturnTimes() {}

    /**
     * The longest time for which tokens may be kept for a program, in milliseconds.
     *
     * @param remainingMillis time that the caller has left
     */
    public static long maximumPromiseMillis(long remainingMillis) {
        return Math.max(0, Math.min(MAXIMUM_PROMISE_MILLIS, remainingMillis / REMAINING_TIME_DIVISOR));
    }

    /**
     * The delay before the caller should retry, in milliseconds.
     *
     * @param startMillis time until the quota is expected to cover the program
     * @param remainingMillis time that the caller has left
     * @param random random number, uniformly distributed from 0 to 1
     */
    public static long retryAfterMillis(long startMillis, long remainingMillis, double random) {
        if (startMillis <= maximumPromiseMillis(remainingMillis)) {
            return startMillis;
        }
        long latest = Math.max(0, remainingMillis / REMAINING_TIME_DIVISOR);
        if (startMillis < latest) {
            latest = Math.min(latest, startMillis + startMillis / SPREAD_DIVISOR);
        }
        long earliest = Math.min(startMillis, latest - latest / SPREAD_DIVISOR);
        return earliest + (long) (random * (latest - earliest));
    }
}
