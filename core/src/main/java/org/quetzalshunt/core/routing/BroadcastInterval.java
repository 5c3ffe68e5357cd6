package org.quetzalshunt.core.routing;

/**
 * How often a VM sends its loads to a peer.
 *
 * <p>Load pattern: many VMs choose among the same endpoints. Most of an endpoint's work comes from the VMs of its own data
 * centre, which therefore report to each other often; to the others a VM sends so much a second and no more. The interval has an
 * upper bound that does not depend on the number of VMs, since a peer that is silent for longer counts as gone.
 */
public final class BroadcastInterval {
    /** A peer that sent nothing for this long is taken for gone. */
    public static final long SILENCE_MILLIS = 1_600;

    /** About the length of a turn: older loads no longer show what runs now. */
    private static final long LOCAL_MILLIS = 250;

    /** Two messages may be late or lost before a peer counts as silent. */
    private static final long MOST_MILLIS = SILENCE_MILLIS / 3;

    /** Messages a second to peers in other data centres, while the upper bound allows it. */
    private static final int REMOTE_MESSAGES_PER_SECOND = 80;

    private static final long MILLIS_PER_SECOND = 1_000;

    private BroadcastInterval() {}

    /**
     * The time between two messages to a peer.
     *
     * @param sameDataCentre whether the peer is in this VM's data centre
     * @param remotePeers peers in other data centres
     */
    public static long millis(boolean sameDataCentre, int remotePeers) {
        if (sameDataCentre) {
            return LOCAL_MILLIS;
        }
        long paced = remotePeers * MILLIS_PER_SECOND / REMOTE_MESSAGES_PER_SECOND;
        return Math.max(LOCAL_MILLIS, Math.min(MOST_MILLIS, paced));
    }
}
