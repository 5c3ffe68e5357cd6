package org.quetzalshunt.server.gateway;

import java.util.SplittableRandom;

/** Pauses between failed calls to one dependency: doubling, with jitter so that VMs that failed together part. */
final class Backoff {
    private static final long FIRST_MILLIS = 50;
    private static final long LONGEST_MILLIS = 400;

    private final SplittableRandom random;
    private int failures;

    Backoff(long seed) {
        this.random = new SplittableRandom(seed);
    }

    void succeeded() {
        failures = 0;
    }

    long failedMillis() {
        long base = Math.min(LONGEST_MILLIS, FIRST_MILLIS << Math.min(failures, 10));
        failures++;
        return base / 2 + random.nextLong(base);
    }
}
