package org.quetzalshunt.standin.platform;

import java.util.Set;

/**
 * How the platform behaves when no fault is on.
 *
 * @param appendsPerSecond cap on appends over all streams; over it, 429
 * @param retentionMillis age at which records are dropped from the front of their stream
 * @param vmListLagMillis time until a change of the VM list shows in it
 * @param weightLoadMillis time that one load from the weight store takes
 * @param weightLoadsPerSecond rate of the weight store; over it, 429
 * @param missingWeights versions that the weight store lacks, as {@code model/version}
 */
public record PlatformSettings(
        int appendsPerSecond,
        long retentionMillis,
        long vmListLagMillis,
        long weightLoadMillis,
        double weightLoadsPerSecond,
        Set<String> missingWeights) {

    /** "Several hundred appends a second" read as 400; ten minutes of records; a list one second late. */
    public static PlatformSettings defaults() {
        return new PlatformSettings(400, 600_000, 1_000, 500, 2, Set.of());
    }

    /** The same with another cap on appends. */
    public PlatformSettings withAppendsPerSecond(int value) {
        return new PlatformSettings(
                value, retentionMillis, vmListLagMillis, weightLoadMillis, weightLoadsPerSecond, missingWeights);
    }

    /** The same with another retention. */
    public PlatformSettings withRetentionMillis(long value) {
        return new PlatformSettings(
                appendsPerSecond, value, vmListLagMillis, weightLoadMillis, weightLoadsPerSecond, missingWeights);
    }

    /** The same with another lag of the VM list. */
    public PlatformSettings withVmListLagMillis(long value) {
        return new PlatformSettings(
                appendsPerSecond, retentionMillis, value, weightLoadMillis, weightLoadsPerSecond, missingWeights);
    }
}
