package org.quetzalshunt.core.program;

/**
 * Times of a shard.
 *
 * @param resultMillis how long results and ended programs are kept for re-sends
 * @param programIdleMillis idle time after which a program ends
 * @param sweepMillis interval of the sweeps over all programs
 */
public record ShardSettings(long resultMillis, long programIdleMillis, long sweepMillis) {
    /** An hour for both, the values of {@link org.quetzalshunt.core.document.ServiceLimits#defaults}. */
    public static ShardSettings defaults() {
        return new ShardSettings(3_600_000, 3_600_000, 1_000);
    }
}
