package org.quetzalshunt.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The other VMs by their heartbeats: which leases may still be in force, and who is a member of the fleet.
 *
 * <p>The two differ while the store is unavailable. Leases run out then, since nobody can renew them; members stay, since a
 * VM that cannot send a heartbeat is not gone. Guards against a fleet that forgets itself in each outage of the store:
 * every link would be closed, and after the outage every VM would claim all quotas.
 */
public final class PeerTable {
    /** The lease, and a margin for the drift of two clocks. */
    public static final long OBSERVED_MILLIS = VmLease.LEASE_MILLIS + 1_500;

    /** A longer pause between two complete reads means that the store, or the way to it, was unavailable. */
    private static final long LONGEST_PAUSE_MILLIS = 1_500;

    /** Bounds the memory of leases of VMs that are gone. */
    private static final long FORGET_MILLIS = 600_000;

    private static final class Row {
        VmHeartbeat heartbeat;
        long seenMillis;
        /** The same, moved on by the time for which no heartbeat could be read. */
        long memberSeenMillis;

        boolean isOf(LeaseTerm term) {
            return heartbeat.incarnation() == term.incarnation() && heartbeat.epoch() == term.epoch();
        }

        boolean isNewerThan(LeaseTerm term) {
            return heartbeat.incarnation() > term.incarnation()
                    || (heartbeat.incarnation() == term.incarnation() && heartbeat.epoch() > term.epoch());
        }
    }

    private record UnknownTerm(String vm, LeaseTerm term) {}

    private final String self;
    private final Map<String, Row> rows = new HashMap<>();
    private final Map<UnknownTerm, Long> unknownTerms = new HashMap<>();
    private Map<String, VmHeartbeat> members = Map.of();
    private long readMillis = Long.MIN_VALUE / 2;

    private PeerTable(String self) {
        this.self = self;
    }

    /** Makes a table without peers. */
    public static PeerTable create(String self) {
        return new PeerTable(self);
    }

    /** A heartbeat was read. Heartbeats of a VM's former processes may arrive late, and are ignored. */
    public void onHeartbeat(long nowMillis, String vm, VmHeartbeat heartbeat) {
        if (vm.equals(self)) {
            return;
        }
        Row row = rows.computeIfAbsent(vm, ignored -> new Row());
        if (row.heartbeat != null && !isNewer(heartbeat, row.heartbeat)) {
            return;
        }
        row.heartbeat = heartbeat;
        row.seenMillis = nowMillis;
        row.memberSeenMillis = nowMillis;
    }

    private static boolean isNewer(VmHeartbeat heartbeat, VmHeartbeat known) {
        return heartbeat.incarnation() != known.incarnation()
                ? heartbeat.incarnation() > known.incarnation()
                : heartbeat.sequence() > known.sequence();
    }

    /**
     * Only the newest record of each VM was read, in place of all in their order. A heartbeat that was stored late may hide
     * newer ones, so every lease counts as just renewed.
     */
    public void onSnapshot(long nowMillis) {
        rows.values().forEach(row -> row.seenMillis = nowMillis);
    }

    /**
     * All heartbeats were read.
     *
     * @param sentMillis when the read was sent: what it shows was true then or later
     */
    public void onReadComplete(long sentMillis) {
        long unavailable = sentMillis - readMillis - LONGEST_PAUSE_MILLIS;
        if (unavailable > 0) {
            rows.values()
                    .forEach(row -> row.memberSeenMillis = Math.min(sentMillis, row.memberSeenMillis + unavailable));
        }
        readMillis = sentMillis;
        unknownTerms.values().removeIf(since -> readMillis - since >= FORGET_MILLIS);
        members = currentMembers();
    }

    private Map<String, VmHeartbeat> currentMembers() {
        Map<String, VmHeartbeat> current = new TreeMap<>();
        rows.forEach((vm, row) -> {
            if (!row.heartbeat.stopping() && readMillis - row.memberSeenMillis < OBSERVED_MILLIS) {
                current.put(vm, row.heartbeat);
            }
        });
        return current;
    }

    /** The other members of the fleet with their newest heartbeats, by name. */
    public Map<String, VmHeartbeat> members() {
        return members;
    }

    /**
     * Whether a peer may be using what it acquired under a term. Judged as of the last complete read: a renewal that the
     * store acknowledged after a lease had run out does not count for its holder either.
     */
    public boolean mayBeInForce(long nowMillis, String vm, LeaseTerm term) {
        Row row = rows.get(vm);
        if (row != null && row.isNewerThan(term)) {
            return false;
        }
        if (row != null && row.isOf(term)) {
            return !row.heartbeat.stopping() && readMillis - row.seenMillis < OBSERVED_MILLIS;
        }
        // Its heartbeat may not have been read yet.
        long since = unknownTerms.computeIfAbsent(new UnknownTerm(vm, term), ignored -> nowMillis);
        return nowMillis - since < OBSERVED_MILLIS;
    }
}
