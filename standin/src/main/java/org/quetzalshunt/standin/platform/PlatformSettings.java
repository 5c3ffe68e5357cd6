package org.quetzalshunt.standin.platform;

import java.util.Set;

/**
 * Behaviour of the platform while no fault is active.
 *
 * @param appendsPerSecond limit on appends of all streams together; appends above it get status 429
 * @param retentionMillis age at which records are dropped from the front of their stream
 * @param vmListLagMillis delay after which a change is visible in the VM list
 * @param weightLoadMillis duration of one load from the weight store
 * @param weightLoadsPerSecond limit on loads from the weight store; loads above it get status 429
 * @param missingWeights versions that are absent from the weight store, as {@code model/version}
 */
public record PlatformSettings(
        int appendsPerSecond,
        long retentionMillis,
        long vmListLagMillis,
        long weightLoadMillis,
        double weightLoadsPerSecond,
        Set<String> missingWeights) {

    /**
     * 400 appends per second, for the required "several hundred", a retention of ten minutes, and a VM list with a
     * delay of one second.
     */
    public static PlatformSettings defaults() {
        return new PlatformSettings(400, 600_000, 1_000, 500, 2, Set.of());
    }

    /** Copy with another limit on appends. */
    public PlatformSettings withAppendsPerSecond(int value) {
        return new PlatformSettings(
                value, retentionMillis, vmListLagMillis, weightLoadMillis, weightLoadsPerSecond, missingWeights);
    }

    /** Copy with another retention period. */
    public PlatformSettings withRetentionMillis(long value) {
        return new PlatformSettings(
                appendsPerSecond, value, vmListLagMillis, weightLoadMillis, weightLoadsPerSecond, missingWeights);
    }

    /** Copy with another delay of the VM list. */
    public PlatformSettings withVmListLagMillis(long value) {
        return new PlatformSettings(
                appendsPerSecond, retentionMillis, value, weightLoadMillis, weightLoadsPerSecond, missingWeights);
    }
}
