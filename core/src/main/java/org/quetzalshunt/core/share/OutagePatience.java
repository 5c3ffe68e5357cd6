package org.quetzalshunt.core.share;

/**
 * How long a request waits in an outage that no other VM is spared, and when its caller should come back after that.
 *
 * <p>Load pattern: the shared map is away for some seconds, or all VMs were killed and find each other again. Each turn has
 * a few tries only, and a program whose turn has used them up is lost with all that it has done. Refused at once and called
 * back early, they are used up in the first three seconds; spread over the time that callers have, they reach over most
 * outages. A request that waits is served as soon as the outage ends.
 */
public final class OutagePatience {
    /** Part of its time that a request waits; the greater one is for its run. */
    private static final double WAIT_PART = 0.45;

    /** Callers take a stream that says nothing for two seconds for dead. */
    private static final long MOST_WAIT_MILLIS = 1_800;

    /**
     * A caller that has less than this part of its time left does not wait: what would be left could not hold its run, while
     * its program sends the turn anew, with all of its time.
     */
    private static final double FRESH_PART = 0.75;

    /** Callers wait at most for this part of their time. */
    private static final double COME_BACK_PART = 1 / 3.0;

    /** Part of that time over which callers are spread, so that they do not return as one. */
    private static final double SPREAD = 0.05;

    private OutagePatience() {}

    /**
     * The longest wait.
     *
     * @param leftMillis time that the caller had left when the request arrived
     * @param wholeMillis time that callers of its kind have at first
     */
    public static long mostWaitMillis(long leftMillis, long wholeMillis) {
        if (leftMillis < FRESH_PART * wholeMillis) {
            return 0;
        }
        return Math.min(MOST_WAIT_MILLIS, (long) (WAIT_PART * leftMillis));
    }

    /**
     * When to come back.
     *
     * @param leftMillis time that the caller has left
     * @param chance anything from 0 to 1, evenly
     */
    public static long comeBackMillis(long leftMillis, double chance) {
        return (long) (COME_BACK_PART * leftMillis * (1 - SPREAD * chance));
    }
}
