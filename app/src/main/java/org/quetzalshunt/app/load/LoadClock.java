package org.quetzalshunt.app.load;

/** Monotonic clock that counts microseconds since the start of the run. */
final class LoadClock {
    private static final long NANOS_PER_MICRO = 1_000;

    private final long startNanos = System.nanoTime();

    private LoadClock() {}

    static LoadClock start() {
        return new LoadClock();
    }

    long micros() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
    }
}
