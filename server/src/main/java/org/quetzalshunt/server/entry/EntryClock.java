package org.quetzalshunt.server.entry;

/**
 * Milliseconds since the epoch that never go back: the wall clock is read once, and time since then is taken from the
 * monotonic clock, so that a step of the wall clock can't shorten a lease or pass a deadline.
 */
final class EntryClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long startMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    long now() {
        return startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
}
