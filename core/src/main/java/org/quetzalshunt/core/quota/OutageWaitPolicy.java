package org.quetzalshunt.core.quota;

/**
 * How long a request waits in an outage that affects every VM, and how long its caller should wait before it retries.
 *
 * <p>Load pattern: the store is unavailable for some seconds, or all VMs were killed and reconnect. Each turn has only
 * a few attempts, and a program whose turn has used them up loses all of its work. If requests were refused at once
 * with a short retry delay, the attempts would be used up within the first three seconds. Spread over the caller's
 * remaining time, they outlast most outages. A request that waits is served as soon as the outage ends.
 */
public final class OutageWaitPolicy {
    /**
     * Fraction of its remaining time that a request waits. The rest is for its execution, or for its caller's next
     * attempt.
     */
    private static final double WAIT_FRACTION = 0.3;

    /**
     * Callers abandon a stream without an event after two seconds, and an engine may need most of one second to start.
     */
    private static final long MAXIMUM_WAIT_MILLIS = 1_200;

    /** Callers honour a retry delay only up to this fraction of their remaining time. */
    private static final double RETRY_FRACTION = 1 / 3.0;

    /** Fraction of the retry delay over which retries are spread, so that callers do not all return at once. */
    private static final double JITTER_FRACTION = 0.05;

    private OutageWaitPolicy() {}

    /**
     * The longest time that a request waits, in milliseconds.
     *
     * @param remainingMillis time that the caller had left when the request arrived
     */
    public static long maximumWaitMillis(long remainingMillis) {
        return Math.min(MAXIMUM_WAIT_MILLIS, (long) (WAIT_FRACTION * remainingMillis));
    }

    /**
     * The delay before the caller should retry, in milliseconds.
     *
     * @param remainingMillis time that the caller has left
     * @param random random number, uniformly distributed from 0 to 1
     */
    public static long retryAfterMillis(long remainingMillis, double random) {
        return (long) (RETRY_FRACTION * remainingMillis * (1 - JITTER_FRACTION * random));
    }
}
