package org.quetzalshunt.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;

/**
 * One VM's view of the members of the fleet. It combines the platform's VM list, which lags, with heartbeats that are
 * sent and forwarded between the VMs. A VM's own announcement that it is leaving takes precedence over both.
 *
 * <p>Times are milliseconds of the caller's monotonic clock. Not thread-safe.
 */
public final class Membership {
    private final VmId self;
    private final MembershipSettings settings;
    private final Peer own;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private final GossipSchedule schedule;

    private Membership(VmId self, Vm selfVm, MembershipSettings settings) {
        this.self = self;
        this.settings = settings;
        this.own = new Peer(selfVm);
        this.schedule = GossipSchedule.create(self, settings);
        own.incarnation = self.incarnation();
        own.heartbeatReceived = true;
        own.alive = true;
        peers.put(self.name(), own);
    }

    /** Creates a view that contains only this VM, until the list names others. */
    public static Membership create(VmId self, Vm selfVm, MembershipSettings settings) {
        return new Membership(self, selfVm, settings);
    }

    /** Updates the view from the platform's list. VMs that are no longer listed are removed, except this VM itself. */
    public void onVmList(long nowMillis, List<Vm> vms) {
        boolean changed = peers.values()
                .removeIf(peer ->
                        peer != own && vms.stream().noneMatch(vm -> vm.name().equals(peer.vm.name())));
        for (Vm vm : vms) {
            changed |= onListedVm(nowMillis, vm);
        }
        updateLiveness(nowMillis, changed);
    }

    private boolean onListedVm(long nowMillis, Vm vm) {
        Peer peer = peers.get(vm.name());
        if (peer == null) {
            Peer added = new Peer(vm);
            added.lastHeartbeatMillis = nowMillis;
            peers.put(vm.name(), added);
            return true;
        }
        boolean changed = !peer.vm.equals(vm);
        peer.vm = vm;
        return changed;
    }

    /**
     * Handles a heartbeat that came over the VM's own connection. A heartbeat of a former incarnation, or an outdated
     * one, changes nothing.
     */
    public void onHeartbeat(long nowMillis, MemberHeartbeat heartbeat) {
        Peer peer = peers.get(heartbeat.vm());
        if (peer != null && heartbeat.incarnation() >= peer.incarnation) {
            peer.connectionLostMillis = Long.MIN_VALUE;
        }
        applyHeartbeat(nowMillis, heartbeat);
    }

    /** Handles the heartbeats of other VMs that were forwarded with a heartbeat. */
    public void onDigest(long nowMillis, List<MemberHeartbeat> digest) {
        digest.forEach(heartbeat -> applyHeartbeat(nowMillis, heartbeat));
    }

    private void applyHeartbeat(long nowMillis, MemberHeartbeat heartbeat) {
        Peer peer = peers.get(heartbeat.vm());
        if (peer == null
                || peer == own
                || !acceptIncarnation(nowMillis, VmId.of(heartbeat.vm(), heartbeat.incarnation()))) {
            return;
        }
        boolean isOutdated = heartbeat.sequence() > 0 && heartbeat.sequence() <= peer.sequence;
        if (isOutdated) {
            return;
        }
        boolean changed = !peer.heartbeatReceived
                || peer.announcedLeaving != heartbeat.leaving()
                || !peer.ownedShards.equals(heartbeat.ownedShards());
        peer.sequence = Math.max(peer.sequence, heartbeat.sequence());
        peer.heartbeatReceived = true;
        peer.lastHeartbeatMillis = nowMillis;
        // A VM that announced its shutdown never revokes it in the same incarnation. Otherwise, a late copy of an older
        // heartbeat would direct new work to a VM that is shutting down.
        peer.announcedLeaving |= heartbeat.leaving();
        peer.configurationNext = Math.max(peer.configurationNext, heartbeat.configurationNext());
        peer.configurationAgeMillis = heartbeat.configurationAgeMillis();
        peer.ownedShards = List.copyOf(heartbeat.ownedShards());
        peer.timesForwarded = 0;
        updateLiveness(nowMillis, changed);
    }

    /**
     * Returns whether messages of this incarnation are valid. A newer incarnation than the newest known one replaces
     * it.
     *
     * <p>Guards against a VM that was replaced at the same address: late messages of its former process would otherwise
     * be attributed to the new one. Incarnations only increase, so an incarnation below the newest one belongs to a
     * process that has been replaced.
     */
    public boolean acceptIncarnation(long nowMillis, VmId id) {
        if (id.name().equals(self.name())) {
            return id.incarnation() == self.incarnation();
        }
        Peer peer = peers.get(id.name());
        if (peer == null) {
            return true;
        }
        if (id.incarnation() < peer.incarnation) {
            return false;
        }
        if (id.incarnation() > peer.incarnation) {
            peer.restart(id.incarnation());
            peer.lastHeartbeatMillis = nowMillis;
            peer.heartbeatReceived = true;
            updateLiveness(nowMillis, true);
        }
        return true;
    }

    /**
     * Records a lost connection. Unless a heartbeat of the VM follows soon, the VM counts as dead before its usual
     * timeout.
     */
    public void onConnectionLost(long nowMillis, VmId id) {
        Peer peer = peers.get(id.name());
        if (peer == null || peer == own || id.incarnation() < peer.incarnation) {
            return;
        }
        peer.connectionLostMillis = nowMillis;
    }

    /** Sets the state that this VM announces in its heartbeats from now on. */
    public void announceState(
            long configurationNext, long configurationAgeMillis, boolean leaving, List<Integer> ownedShards) {
        boolean changed = own.announcedLeaving != leaving || !own.ownedShards.equals(ownedShards);
        own.configurationNext = configurationNext;
        own.configurationAgeMillis = configurationAgeMillis;
        own.announcedLeaving |= leaving;
        own.ownedShards = List.copyOf(ownedShards);
        if (changed) {
            listeners.forEach(Runnable::run);
        }
    }

    /** Detects VMs whose heartbeats have timed out. */
    public void tick(long nowMillis) {
        updateLiveness(nowMillis, false);
    }

    private void updateLiveness(long nowMillis, boolean alreadyChanged) {
        boolean changed = alreadyChanged;
        own.lastHeartbeatMillis = nowMillis;
        for (Peer peer : peers.values()) {
            boolean alive = peer == own || isAlive(nowMillis, peer);
            changed |= alive != peer.alive;
            peer.alive = alive;
        }
        if (changed) {
            listeners.forEach(Runnable::run);
        }
    }

    private boolean isAlive(long nowMillis, Peer peer) {
        if (!peer.heartbeatReceived) {
            return false;
        }
        return !isDisconnected(nowMillis, peer)
                && nowMillis - peer.lastHeartbeatMillis < settings.timeoutMillis(peers.size());
    }

    /**
     * Whether the timeout after a lost connection has passed and no heartbeat followed the loss. A heartbeat that
     * arrives within one round of the loss may have been sent before it and forwarded by other VMs, so it does not
     * count.
     */
    private boolean isDisconnected(long nowMillis, Peer peer) {
        return peer.connectionLostMillis != Long.MIN_VALUE
                && nowMillis - peer.connectionLostMillis >= settings.lostConnectionTimeoutMillis()
                && peer.lastHeartbeatMillis - peer.connectionLostMillis < settings.heartbeatIntervalMillis();
    }

    /** Every listed entry VM, including this one, sorted by name. */
    public List<Member> entries() {
        return entryPeers().stream().map(Peer::toMember).toList();
    }

    /** The entries that are alive, including those that are leaving. */
    public List<Member> liveEntries() {
        return entries().stream().filter(Member::alive).toList();
    }

    /** One entry by the name of its VM. */
    public Optional<Member> entry(String name) {
        return Optional.ofNullable(peers.get(name))
                .filter(peer -> peer.vm.role() == VmRole.ENTRY)
                .map(Peer::toMember);
    }

    /** The listed sidecars. Their liveness is determined from their reports, not by this class. */
    public List<Vm> sidecars() {
        return peers.values().stream()
                .map(peer -> peer.vm)
                .filter(vm -> vm.role() == VmRole.SIDECAR)
                .sorted(Comparator.comparing(Vm::name))
                .toList();
    }

    /**
     * The VMs to which a heartbeat is due now; empty between two rounds. Their number is bounded by the fan-out,
     * regardless of the size of the fleet. A sidecar sends to entries only, those of its DataCentre first; an entry
     * sends to other entries.
     */
    public List<String> heartbeatTargets(long nowMillis) {
        List<String> targets = schedule.targets(nowMillis, own.vm, entryPeers());
        if (!targets.isEmpty()) {
            own.sequence++;
        }
        return targets;
    }

    /** The state of this VM, which comes first in a heartbeat. */
    public MemberHeartbeat ownHeartbeat() {
        return own.toHeartbeat();
    }

    /** The heartbeats of other entries to forward to one target, those forwarded least often first. */
    public List<MemberHeartbeat> digest(String target) {
        return schedule.digest(target, own, entryPeers());
    }

    /** The entry that should claim a shard, by rendezvous hashing over the live entries that are not leaving. */
    public Optional<String> preferredOwner(int shard) {
        List<String> names = entryPeers().stream()
                .filter(peer -> peer.alive && !peer.leaving())
                .map(peer -> peer.vm.name())
                .toList();
        return Rendezvous.winner("shard-" + shard, names);
    }

    /**
     * Adds a listener that is called after a VM was added or removed, its liveness changed, it restarted, announced its
     * shutdown, or owns different shards.
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    private List<Peer> entryPeers() {
        Collection<Peer> all = peers.values();
        return all.stream()
                .filter(peer -> peer.vm.role() == VmRole.ENTRY)
                .sorted(Comparator.comparing(peer -> peer.vm.name()))
                .toList();
    }
}
