package org.quetzalshunt.core.routing;

/**
 * Interval at which a VM reports its endpoint loads to a peer.
 *
 * <p>Load pattern: many VMs choose among the same endpoints. Most requests at an endpoint come from the VMs of its own
 * data centre, so these VMs report to each other often. Reports to VMs in other data centres share a fixed message
 * rate. The interval has an upper bound that does not depend on the number of VMs, because a peer that sends nothing
 * for longer is treated as dead.
 */
public final class BroadcastInterval {
    /** A peer that sends nothing for this long is treated as dead. */
    public static final long PEER_TIMEOUT_MILLIS = 1_600;

    /** About the duration of a turn: an older report no longer reflects the requests in flight. */
    private static final long MINIMUM_MILLIS = 250;

    /** Allows for two late or lost messages before a peer is treated as dead. */
    private static final long MAXIMUM_MILLIS = PEER_TIMEOUT_MILLIS / 3;

    /** Messages per second to all peers in other data centres, unless {@link #MAXIMUM_MILLIS} requires more. */
    private static final int REMOTE_MESSAGES_PER_SECOND = 80;

    private static final long MILLIS_PER_SECOND = 1_000;

    private BroadcastInterval() {}

    /**
     * Returns the time between two messages to a peer.
     *
     * @param sameDataCentre whether the peer is in this VM's data centre
     * @param remotePeers number of peers in other data centres
     */
    public static long millis(boolean sameDataCentre, int remotePeers) {
        if (sameDataCentre) {
            return MINIMUM_MILLIS;
        }
        long rateLimitedMillis = remotePeers * MILLIS_PER_SECOND / REMOTE_MESSAGES_PER_SECOND;
        return Math.max(MINIMUM_MILLIS, Math.min(MAXIMUM_MILLIS, rateLimitedMillis));
    }

    /** Messages to all peers in a second. */
    public static double messagesPerSecond(int localPeers, int remotePeers) {
        return MILLIS_PER_SECOND
                * (localPeers / (double) millis(true, remotePeers) + remotePeers / (double) millis(false, remotePeers));
    }
}
