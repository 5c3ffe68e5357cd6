package org.quetzalshunt.server.entry;

/**
 * Clock of milliseconds since the epoch that never runs backwards. The wall clock is read once and the elapsed time is
 * taken from the monotonic clock, so that a step of the wall clock cannot shorten a lease or skip a deadline.
 */
final class EntryClock {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long startMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    long now() {
        return startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
}
