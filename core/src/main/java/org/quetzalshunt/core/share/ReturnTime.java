package org.quetzalshunt.core.share;

/** When a request that was refused because its account is above its share should return. */
final class ReturnTime {
    /**
     * Time in which the use of an account falls by the factor e when it starts no programs: about the duration of a
     * program.
     */
    private static final double PROGRAM_MILLIS = 1_500;

    private static final double MINIMUM_MILLIS = 100;

    /** Callers honour a retry delay only up to this fraction of their remaining time. */
    private static final double MAXIMUM_FRACTION = 1 / 3.0;

    /** Smallest delay as a fraction of the largest one, so that refused requests do not all return at once. */
    private static final double SMALLEST_FRACTION = 0.6;

    private ReturnTime() {}

    /**
     * The delay before a retry, in milliseconds.
     *
     * @param slots slots that the account uses
     * @param share slots that it may use
     * @param remainingMillis time that the caller has left
     * @param random random number, uniformly distributed from 0 to 1
     */
    static long retryAfterMillis(double slots, double share, long remainingMillis, double random) {
        double freeInMillis = share > 0 && slots > share ? PROGRAM_MILLIS * Math.log(slots / share) : 0;
        double largestMillis = Math.max(MINIMUM_MILLIS, freeInMillis) / SMALLEST_FRACTION;
        double limitMillis = Math.max(0, remainingMillis) * MAXIMUM_FRACTION;
        double spread = SMALLEST_FRACTION + (1 - SMALLEST_FRACTION) * random;
        return (long) (Math.min(largestMillis, limitMillis) * spread);
    }
}
