package org.quetzalshunt.server.gateway;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter for failed calls to one dependency. The jitter keeps VMs that failed together from
 * retrying together.
 */
final class Backoff {
    private static final long INITIAL_DELAY_MILLIS = 50;
    private static final long MAXIMUM_DELAY_MILLIS = 400;

    private final SplittableRandom random;
    private int failures;

    Backoff(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Resets the delay after a successful call. */
    void reset() {
        failures = 0;
    }

    /** Counts a failed call and returns the delay before the next one, in milliseconds. */
    long nextDelayMillis() {
        long base = Math.min(MAXIMUM_DELAY_MILLIS, INITIAL_DELAY_MILLIS << Math.min(failures, 10));
        failures++;
        return base / 2 + random.nextLong(base);
    }
}
