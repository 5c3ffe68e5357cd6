package org.quetzalshunt.core.decision;

/**
 * Settings of a scheduler.
 *
 * @param dataCentre data centre of this entry
 * @param entries number of entries that share the endpoints, this one included
 * @param seed seed of all random choices
 * @param queueLimitPerAccount maximum number of queued requests of one account, unless the caller of offer sets a limit
 * @param policy rules of the scheduler
 */
public record SchedulerSettings(String dataCentre, int entries, long seed, int queueLimitPerAccount, Policy policy) {
    private static final int DEFAULT_QUEUE_LIMIT = 256;

    /** Creates settings with the default queue limit and the production policy. */
    public static SchedulerSettings of(String dataCentre, int entries, long seed) {
        return new SchedulerSettings(dataCentre, Math.max(1, entries), seed, DEFAULT_QUEUE_LIMIT, Policy.standard());
    }

    /** Returns a copy with another policy. */
    public SchedulerSettings withPolicy(Policy newPolicy) {
        return new SchedulerSettings(dataCentre, entries, seed, queueLimitPerAccount, newPolicy);
    }
}
