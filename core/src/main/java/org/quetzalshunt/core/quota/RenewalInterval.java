package org.quetzalshunt.core.quota;

/**
 * Interval at which a VM reads the heartbeats of its peers.
 *
 * <p>Load pattern: all VMs return at once, after they were killed or the store was unavailable. No tokens are granted
 * until the owners hold their shares again. At the interval of a settled VM this would take seconds, during which
 * callers are rejected while the endpoints are idle.
 */
public final class RenewalInterval {
    /** Detects VMs that join or leave; one read per second costs little. */
    private static final long SETTLED_MILLIS = 1_000;

    /** A few round trips to the store. */
    private static final long UNSETTLED_MILLIS = 200;

    private RenewalInterval() {}

    /**
     * Time until the next read, in milliseconds.
     *
     * @param settled whether this VM's lease is in force and it holds all shares that it should own
     */
    public static long nextMillis(boolean settled) {
        return settled ? SETTLED_MILLIS : UNSETTLED_MILLIS;
    }
}
