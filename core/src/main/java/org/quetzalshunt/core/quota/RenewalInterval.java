package org.quetzalshunt.core.quota;

/**
 * How soon a VM reads and renews the records of rates again.
 *
 * <p>Load pattern: all VMs come back at once, after they were killed or the shared map was away. None may give out tokens
 * before the homes of the accounts hold their parts and the others have read so. At the calm pace that takes three seconds,
 * in which every request is refused while the endpoints stand idle.
 */
public final class RenewalInterval {
    /** How soon a VM that came or went is noticed; one read a second costs little. */
    private static final long CALM_MILLIS = 1_000;

    /** A few round trips to the map. */
    private static final long UNSETTLED_MILLIS = 200;

    private RenewalInterval() {}

    /**
     * Time until the next round.
     *
     * @param leased whether this VM's own parts are in force
     * @param reachesAllLeaseHolders whether every account has a holder that can be asked
     */
    public static long nextMillis(boolean leased, boolean reachesAllLeaseHolders) {
        return leased && reachesAllLeaseHolders ? CALM_MILLIS : UNSETTLED_MILLIS;
    }
}
