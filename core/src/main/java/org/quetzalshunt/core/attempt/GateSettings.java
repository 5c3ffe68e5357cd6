package org.quetzalshunt.core.attempt;

import org.quetzalshunt.core.document.ServiceKind;

/**
 * Settings of an {@link EndpointGate}.
 *
 * @param kind kind of service that the endpoint provides
 * @param graceMillis how long a repeatable attempt keeps running without an attached receiver
 * @param maximumRunning attempts that may run at once; a bound on memory, not the endpoint's concurrency limit
 * @param orphanCacheDelayMillis delay after the start before cache entries without a lease are freed; one lease period,
 *     within which every live owner renews its leases
 */
public record GateSettings(ServiceKind kind, long graceMillis, int maximumRunning, long orphanCacheDelayMillis) {
    /** An entry process that lost its link reconnects within seconds, or its shards get another owner within 10 s. */
    public static final long DEFAULT_GRACE_MILLIS = 10_000;

    /** Ten times the batch size of the largest engines; the frames of that many short responses stay below 100 MB. */
    public static final int DEFAULT_MAXIMUM_RUNNING = 1_024;

    /** The lease period that entry processes request by default. */
    public static final long DEFAULT_ORPHAN_CACHE_MILLIS = 30_000;

    /** Returns the default settings for a kind of service. */
    public static GateSettings of(ServiceKind kind) {
        return new GateSettings(kind, DEFAULT_GRACE_MILLIS, DEFAULT_MAXIMUM_RUNNING, DEFAULT_ORPHAN_CACHE_MILLIS);
    }

    /** Returns a copy with another delay before orphaned cache entries are freed, in milliseconds. */
    public GateSettings withOrphanCacheMillis(long millis) {
        return new GateSettings(kind, graceMillis, maximumRunning, millis);
    }
}
