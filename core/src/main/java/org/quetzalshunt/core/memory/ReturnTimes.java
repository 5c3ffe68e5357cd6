package org.quetzalshunt.core.memory;

/**
 * Retry-After of requests refused for lack of memory. Memory is expected to be free after {@link
 * ReadProgress#LIMIT_MILLIS} at the latest, because callers that read nothing are disconnected by then. Requests return
 * in the order in which they were refused, and spread, so that they do not fill the memory again together.
 */
public final class ReturnTimes {
    private static final long MINIMUM_MILLIS = 250;

    /** Time between two returns: 250 returns per second, which a VM serves beside its other requests. */
    private static final long SPACING_MILLIS = 4;

    private static final int REMAINING_TIME_DIVISOR = 3;

    private long nextMillis = Long.MIN_VALUE;

    /**
     * Returns the time until the return of a request that is refused now; at most a third of the caller's remaining
     * time, since callers honour no more.
     */
    public long next(long nowMillis, long remainingMillis) {
        nextMillis = Math.max(nextMillis, nowMillis + MINIMUM_MILLIS);
        nextMillis = Math.min(nextMillis, nowMillis + ReadProgress.LIMIT_MILLIS);
        long delayMillis = nextMillis - nowMillis;
        nextMillis += SPACING_MILLIS;
        return Math.max(0, Math.min(delayMillis, remainingMillis / REMAINING_TIME_DIVISOR));
    }
}
