package org.quetzalshunt.core.log;

import java.util.SplittableRandom;

/**
 * Exponential back-off with jitter. Guards against a stampede: after an outage every node retries at once and the log
 * refuses most of them again; spread over half to the whole of a growing delay, they arrive apart.
 */
final class Backoff {
    private static final long SHORTEST_MILLIS = 20;
    private static final long LONGEST_MILLIS = 2_000;
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
        long ceiling = Math.min(LONGEST_MILLIS, SHORTEST_MILLIS << Math.min(failures, MAXIMUM_DOUBLINGS));
        failures++;
        readyMillis = nowMillis + ceiling / 2 + random.nextLong(ceiling / 2 + 1);
    }

    void succeeded() {
        failures = 0;
        readyMillis = Long.MIN_VALUE;
    }

    boolean ready(long nowMillis) {
        return nowMillis >= readyMillis;
    }

    boolean failing() {
        return failures > 0;
    }
}
