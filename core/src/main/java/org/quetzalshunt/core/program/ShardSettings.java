package org.quetzalshunt.core.program;

/**
 * Retention and sweep times of a shard.
 *
 * @param resultRetentionMillis how long results and ended programs are kept to answer repeated requests
 * @param programIdleMillis idle time after which a program is ended
 * @param sweepMillis interval between sweeps for expired requests, idle programs and old results
 */
public record ShardSettings(long resultRetentionMillis, long programIdleMillis, long sweepMillis) {
    /** One hour for results and idle programs, as in {@link org.quetzalshunt.core.document.ServiceLimits#defaults}. */
    public static ShardSettings defaults() {
        return new ShardSettings(3_600_000, 3_600_000, 1_000);
    }
}
