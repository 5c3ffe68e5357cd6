package org.quetzalshunt.core.quota;

/**
 * How long a request waits in an outage that no other VM is spared, and when its caller should come back after that.
 *
 * <p>Load pattern: the store is unavailable for some seconds, or all VMs were killed and reconnect. Each turn has
 * a few tries only, and a program whose turn has used them up is lost with all that it has done. Refused at once and called
 * back early, they are used up in the first three seconds; spread over the time that callers have, they reach over most
 * outages. A request that waits is served as soon as the outage ends.
 */
public final class OutageWaitPolicy {
    /** Part of its time that a request waits; the rest is for its run, or for its caller's next try. */
    private static final double WAIT_PART = 0.3;

    /** Callers abandon a stream without an event after two seconds, and an engine may need most of one to begin. */
    private static final long MOST_WAIT_MILLIS = 1_200;

    /** Callers wait at most for this part of their time. */
    private static final double COME_BACK_PART = 1 / 3.0;

    /** Part of that time over which callers are spread, so that they do not return as one. */
    private static final double SPREAD = 0.05;

    private OutageWaitPolicy() {}

    /**
     * The longest wait.
     *
     * @param leftMillis time that the caller had left when the request arrived
     */
    public static long maximumWaitMillis(long leftMillis) {
        return Math.min(MOST_WAIT_MILLIS, (long) (WAIT_PART * leftMillis));
    }

    /**
     * When to come back.
     *
     * @param leftMillis time that the caller has left
     * @param chance anything from 0 to 1, evenly
     */
    public static long retryAfterMillis(long leftMillis, double chance) {
        return (long) (COME_BACK_PART * leftMillis * (1 - SPREAD * chance));
    }
}
