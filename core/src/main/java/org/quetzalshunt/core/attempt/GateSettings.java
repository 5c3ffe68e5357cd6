package org.quetzalshunt.core.attempt;

import org.quetzalshunt.core.document.ServiceKind;

/**
 * What a gate must know of its endpoint.
 *
 * @param kind what stands behind it
 * @param graceMillis how long a repeatable attempt runs on with no receiver
 * @param maximumRunning attempts that may run at once; a bound on memory, not the endpoint's concurrency limit
 * @param orphanCacheMillis when, after the start, cache entries without a lease are freed; one lease time, in which
 *     every living owner renews
 */
public record GateSettings(ServiceKind kind, long graceMillis, int maximumRunning, long orphanCacheMillis) {
    /** An entry that lost its link is back within seconds, or its shards have another owner within ten. */
    public static final long DEFAULT_GRACE_MILLIS = 10_000;

    /** Ten times what the largest engines batch; the frames of that many short answers stay below 100 MB. */
    public static final int DEFAULT_MAXIMUM_RUNNING = 1_024;

    /** The lease that entries ask for by default. */
    public static final long DEFAULT_ORPHAN_CACHE_MILLIS = 30_000;

    /** Settings with the defaults. */
    public static GateSettings of(ServiceKind kind) {
        return new GateSettings(kind, DEFAULT_GRACE_MILLIS, DEFAULT_MAXIMUM_RUNNING, DEFAULT_ORPHAN_CACHE_MILLIS);
    }

    /** The same with another time for orphaned cache entries, in milliseconds. */
    public GateSettings withOrphanCacheMillis(long millis) {
        return new GateSettings(kind, graceMillis, maximumRunning, millis);
    }
}
