package org.quetzalshunt.core.decision;

/**
 * What a scheduler must know about its surroundings.
 *
 * @param dataCentre data centre of this entry
 * @param entries entries that share the endpoints, this one included
 * @param seed seed of every random choice
 * @param queueLimitPerAccount waiting requests of one account where the caller of offer names no limit
 * @param policy rules to follow
 */
public record SchedulerSettings(String dataCentre, int entries, long seed, int queueLimitPerAccount, Policy policy) {
    private static final int DEFAULT_QUEUE_LIMIT = 256;

    /** Settings with the usual queue limit and the policy in force. */
    public static SchedulerSettings of(String dataCentre, int entries, long seed) {
        return new SchedulerSettings(dataCentre, Math.max(1, entries), seed, DEFAULT_QUEUE_LIMIT, Policy.standard());
    }

    /** The same with another policy. */
    public SchedulerSettings withPolicy(Policy newPolicy) {
        return new SchedulerSettings(dataCentre, entries, seed, queueLimitPerAccount, newPolicy);
    }
}
