package review;

/** Monotonic time and pauses. */
final class Clock {
    private Clock() {}

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException("interrupted", interrupted);
        }
    }
}
