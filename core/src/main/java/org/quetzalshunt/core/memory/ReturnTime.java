package org.quetzalshunt.core.memory;

/**
 * Retry-After of a request refused for lack of memory. Memory is expected to be free after {@link
 * ReadProgress#LIMIT_MILLIS} at the latest, because callers that read nothing are disconnected by then. Returns are
 * spread over that time, so that they do not arrive together.
 */
public final class ReturnTime {
    private static final long MINIMUM_MILLIS = 250;
    private static final int REMAINING_TIME_DIVISOR = 3;

    private ReturnTime() {}

    /**
     * Returns the time in milliseconds; at most a third of the caller's remaining time, since callers honour no more.
     *
     * @param spread random number from 0 to 1
     */
    public static long millis(long remainingMillis, double spread) {
        long spreadMillis = MINIMUM_MILLIS + (long) (spread * (ReadProgress.LIMIT_MILLIS - MINIMUM_MILLIS));
        return Math.max(0, Math.min(spreadMillis, remainingMillis / REMAINING_TIME_DIVISOR));
    }
}
