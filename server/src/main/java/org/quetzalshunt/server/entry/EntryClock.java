package org.quetzalshunt.server.entry;

/**
 * Monotonic clock in milliseconds since the epoch. The wall clock is read once and the elapsed time is measured by
 * {@link System#nanoTime}, so that an adjustment of the wall clock cannot shorten a lease or skip a deadline.
 */
final class EntryClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long startMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    long now() {
        return startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
}
