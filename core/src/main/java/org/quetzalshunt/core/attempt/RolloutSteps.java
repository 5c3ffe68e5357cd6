package org.quetzalshunt.core.attempt;

/**
 * When each endpoint takes its step of a rollout, with nothing to agree on: a moment drawn from the names of VM and
 * version. So the engines of a fleet do not ask the weight store all at once, a version that does not load meets a
 * few of them first, and the first is another one each time.
 */
public final class RolloutSteps {
    /** Fibonacci hashing: the golden ratio's part of 2^64, which spreads numbers that differ little. */
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final int HIGH_BITS = 33;

    private RolloutSteps() {}

    /** Delay of one VM's step, in milliseconds after the version became known to it; below the window. */
    public static long delayMillis(String vm, long version, long windowMillis) {
        if (windowMillis <= 0) {
            return 0;
        }
        long mixed = (vm.hashCode() * MULTIPLIER + version) * MULTIPLIER;
        return (mixed >>> HIGH_BITS) % windowMillis;
    }
}
