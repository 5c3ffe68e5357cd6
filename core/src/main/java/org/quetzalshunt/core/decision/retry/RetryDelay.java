package org.quetzalshunt.core.decision.retry;

import java.util.SplittableRandom;

/** Time between attempts: exponential with full jitter (Brooker 2015). */
public final class RetryDelay {
    /** First bound: several ways between data centres, below what a person notices. */
    static final long FIRST_MILLIS = 20;

    /** Largest bound: an endpoint's restart is not waited out by retries. */
    static final long LARGEST_MILLIS = 2_000;

    private static final int MOST_DOUBLINGS = 16;

    private RetryDelay() {}

    /** A chance time below a bound that doubles with each attempt, so that requests that failed together part. */
    public static long millis(int attemptsBefore, SplittableRandom random) {
        int doublings = Math.min(MOST_DOUBLINGS, Math.max(0, attemptsBefore - 1));
        long bound = Math.min(LARGEST_MILLIS, FIRST_MILLIS << doublings);
        return random.nextLong(bound + 1);
    }
}
