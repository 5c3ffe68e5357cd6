package org.quetzalshunt.core.quota;

/**
 * How soon a VM reads the heartbeats of its peers again.
 *
 * <p>Load pattern: all VMs return at once, after they were killed or the store was unavailable. No tokens are granted before
 * the owners hold their shares again; at the calm interval that takes seconds, in which callers are rejected while the
 * endpoints are idle.
 */
public final class RenewalInterval {
    /** Notices VMs that join or leave; one read a second costs little. */
    private static final long CALM_MILLIS = 1_000;

    /** A few round trips to the store. */
    private static final long UNSETTLED_MILLIS = 200;

    private RenewalInterval() {}

    /**
     * Time until the next read.
     *
     * @param settled whether this VM's lease is in force and it holds all shares that it should own
     */
    public static long nextMillis(boolean settled) {
        return settled ? CALM_MILLIS : UNSETTLED_MILLIS;
    }
}
