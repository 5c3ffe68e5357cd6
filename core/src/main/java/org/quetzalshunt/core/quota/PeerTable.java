package org.quetzalshunt.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The other VMs of the fleet according to their heartbeats: which of their leases may still be in force, and which VMs
 * are members of the fleet.
 *
 * <p>The two sets differ while the store is unavailable. Leases expire then, because no VM can renew its lease. Members
 * are kept, because a VM that cannot write a heartbeat may still be running. If an outage removed members, every VM
 * would close its links to all others, and after the outage every VM would claim all quotas.
 */
public final class PeerTable {
    /** Time after its last heartbeat for which a peer's lease is respected: the lease, and a margin for clock drift. */
    public static final long LEASE_OBSERVATION_MILLIS = VmLease.LEASE_MILLIS + 1_500;

    /** A longer gap between two complete reads means that the store, or the connection to it, was unavailable. */
    private static final long MAXIMUM_READ_GAP_MILLIS = 1_500;

    /** Bounds the memory used for lease terms of VMs that no longer exist. */
    private static final long UNKNOWN_TERM_RETENTION_MILLIS = 600_000;

    private static final class Peer {
        VmHeartbeat heartbeat;
        long leaseSeenMillis;
        /** As {@code leaseSeenMillis}, but moved forward by each period in which no heartbeat could be read. */
        long memberSeenMillis;

        boolean hasTerm(LeaseTerm term) {
            return heartbeat.incarnation() == term.incarnation() && heartbeat.epoch() == term.epoch();
        }

        boolean isNewerThan(LeaseTerm term) {
            return heartbeat.incarnation() > term.incarnation()
                    || (heartbeat.incarnation() == term.incarnation() && heartbeat.epoch() > term.epoch());
        }
    }

    private record UnknownTerm(String vm, LeaseTerm term) {}

    private final String self;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<UnknownTerm, Long> unknownTerms = new HashMap<>();
    private Map<String, VmHeartbeat> members = Map.of();
    private long lastReadMillis = Long.MIN_VALUE / 2;

    private PeerTable(String self) {
        this.self = self;
    }

    /** Creates a table without peers. */
    public static PeerTable create(String self) {
        return new PeerTable(self);
    }

    /** Records a heartbeat. Heartbeats of a VM's former processes may arrive late and are ignored. */
    public void onHeartbeat(long nowMillis, String vm, VmHeartbeat heartbeat) {
        if (vm.equals(self)) {
            return;
        }
        Peer peer = peers.computeIfAbsent(vm, ignored -> new Peer());
        if (peer.heartbeat != null && !isNewer(heartbeat, peer.heartbeat)) {
            return;
        }
        peer.heartbeat = heartbeat;
        peer.leaseSeenMillis = nowMillis;
        peer.memberSeenMillis = nowMillis;
    }

    private static boolean isNewer(VmHeartbeat heartbeat, VmHeartbeat known) {
        return heartbeat.incarnation() != known.incarnation()
                ? heartbeat.incarnation() > known.incarnation()
                : heartbeat.sequence() > known.sequence();
    }

    /**
     * Handles a read that returned only the newest record of each VM instead of all records in order. A heartbeat that
     * was stored late may then hide newer ones, so every lease counts as just renewed.
     */
    public void onSnapshot(long nowMillis) {
        peers.values().forEach(peer -> peer.leaseSeenMillis = nowMillis);
    }

    /**
     * Records that all heartbeats of a read were passed to {@link #onHeartbeat}.
     *
     * @param sentMillis when the read was sent: its result reflects the store at that time or later
     */
    public void onReadComplete(long sentMillis) {
        long unavailableMillis = sentMillis - lastReadMillis - MAXIMUM_READ_GAP_MILLIS;
        if (unavailableMillis > 0) {
            peers.values()
                    .forEach(peer ->
                            peer.memberSeenMillis = Math.min(sentMillis, peer.memberSeenMillis + unavailableMillis));
        }
        lastReadMillis = sentMillis;
        unknownTerms.values().removeIf(since -> lastReadMillis - since >= UNKNOWN_TERM_RETENTION_MILLIS);
        members = currentMembers();
    }

    private Map<String, VmHeartbeat> currentMembers() {
        Map<String, VmHeartbeat> current = new TreeMap<>();
        peers.forEach((vm, peer) -> {
            if (!peer.heartbeat.stopping() && lastReadMillis - peer.memberSeenMillis < LEASE_OBSERVATION_MILLIS) {
                current.put(vm, peer.heartbeat);
            }
        });
        return current;
    }

    /** The other members of the fleet with their newest heartbeats, sorted by name. */
    public Map<String, VmHeartbeat> members() {
        return members;
    }

    /**
     * Whether a peer may still be using shares that it acquired under a term. Decided as of the last complete read.
     * That is safe because a holder does not count a renewal that the store acknowledged after its lease had expired.
     */
    public boolean mayBeInForce(long nowMillis, String vm, LeaseTerm term) {
        Peer peer = peers.get(vm);
        if (peer != null && peer.isNewerThan(term)) {
            return false;
        }
        if (peer != null && peer.hasTerm(term)) {
            return !peer.heartbeat.stopping() && lastReadMillis - peer.leaseSeenMillis < LEASE_OBSERVATION_MILLIS;
        }
        // The first heartbeat of this term may not have been read yet.
        long since = unknownTerms.computeIfAbsent(new UnknownTerm(vm, term), ignored -> nowMillis);
        return nowMillis - since < LEASE_OBSERVATION_MILLIS;
    }
}
