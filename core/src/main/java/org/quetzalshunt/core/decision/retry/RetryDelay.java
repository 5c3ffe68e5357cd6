package org.quetzalshunt.core.decision.retry;

import java.util.SplittableRandom;

/** Delay between attempts: exponential back-off with full jitter (Brooker 2015). */
public final class RetryDelay {
    /** Bound of the first delay: several round trips between data centres, too short for a person to notice. */
    static final long INITIAL_BOUND_MILLIS = 20;

    /** Maximum bound, shorter than the restart of an endpoint: retries are not meant to wait for one. */
    static final long MAXIMUM_BOUND_MILLIS = 2_000;

    private static final int MAXIMUM_DOUBLINGS = 16;

    private RetryDelay() {}

    /**
     * Returns a random delay below a bound that doubles with each attempt, so that requests that failed together are
     * retried at different times.
     */
    public static long millis(int previousAttempts, SplittableRandom random) {
        int doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, previousAttempts - 1));
        long bound = Math.min(MAXIMUM_BOUND_MILLIS, INITIAL_BOUND_MILLIS << doublings);
        return random.nextLong(bound + 1);
    }
}
