package org.quetzalshunt.core.attempt;

/**
 * Staggers a rollout over the engines of a fleet without coordination, by delays hashed from the names of Vm and
 * version. The engines then do not query the weight store all at once, a version that does not load affects only a few
 * of them first, and each version starts at a different engine.
 */
public final class RolloutStagger {
    /** Multiplier of Fibonacci hashing, 2^64 divided by the golden ratio; spreads values that differ little. */
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final int HIGH_BITS = 33;

    private RolloutStagger() {}

    /**
     * Returns the delay of one Vm's step, in milliseconds after the version became known to it; less than the window.
     */
    public static long delayMillis(String vm, long version, long windowMillis) {
        if (windowMillis <= 0) {
            return 0;
        }
        long mixed = (vm.hashCode() * MULTIPLIER + version) * MULTIPLIER;
        return (mixed >>> HIGH_BITS) % windowMillis;
    }
}
