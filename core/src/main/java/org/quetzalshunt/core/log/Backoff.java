package org.quetzalshunt.core.log;

import java.util.SplittableRandom;

/**
 * Exponential back-off with jitter. After an outage, simultaneous retries of all nodes would overload the log again.
 * Each retry is therefore delayed by a random time between half and all of an exponentially growing delay.
 */
final class Backoff {
    private static final long MINIMUM_DELAY_MILLIS = 20;
    private static final long MAXIMUM_DELAY_MILLIS = 2_000;
    private static final int MAXIMUM_DOUBLINGS = 7;

    private final SplittableRandom random;
    private int failures;
    private long readyMillis = Long.MIN_VALUE;

    private Backoff(long seed) {
        this.random = new SplittableRandom(seed);
    }

    static Backoff create(long seed) {
        return new Backoff(seed);
    }

    void failed(long nowMillis) {
        long maximumMillis =
                Math.min(MAXIMUM_DELAY_MILLIS, MINIMUM_DELAY_MILLIS << Math.min(failures, MAXIMUM_DOUBLINGS));
        failures++;
        readyMillis = nowMillis + maximumMillis / 2 + random.nextLong(maximumMillis / 2 + 1);
    }

    /** Shortens the current delay: the dependency is known to answer again. */
    void retryWithin(long nowMillis, long maximumMillis) {
        readyMillis = Math.min(readyMillis, nowMillis + random.nextLong(maximumMillis + 1));
    }

    void succeeded() {
        failures = 0;
        readyMillis = Long.MIN_VALUE;
    }

    boolean isReady(long nowMillis) {
        return nowMillis >= readyMillis;
    }

    boolean isFailing() {
        return failures > 0;
    }
}
