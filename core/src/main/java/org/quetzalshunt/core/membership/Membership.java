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
 * Who is there: the lagging VM list, heartbeats that ride on traffic, a leaving VM's own word first.
 *
 * <p>Times are milliseconds of the caller's monotonic clock. Not safe for use by several threads.
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
        own.heard = true;
        own.alive = true;
        peers.put(self.name(), own);
    }

    /** A view that knows only its own VM, until the list or a heartbeat names others. */
    public static Membership create(VmId self, Vm selfVm, MembershipSettings settings) {
        return new Membership(self, selfVm, settings);
    }

    /** Takes in the platform's list. A VM that is no longer listed is forgotten; this VM itself never is. */
    public void onVmList(long nowMillis, List<Vm> vms) {
        boolean changed = peers.values()
                .removeIf(peer ->
                        peer != own && vms.stream().noneMatch(vm -> vm.name().equals(peer.vm.name())));
        for (Vm vm : vms) {
            changed |= onListedVm(nowMillis, vm);
        }
        refreshAlive(nowMillis, changed);
    }

    private boolean onListedVm(long nowMillis, Vm vm) {
        Peer peer = peers.get(vm.name());
        if (peer == null) {
            Peer added = new Peer(vm);
            added.lastHeardMillis = nowMillis;
            peers.put(vm.name(), added);
            return true;
        }
        boolean changed = !peer.vm.equals(vm);
        peer.vm = vm;
        return changed;
    }

    /**
     * Takes in a VM's word that came over its own connection. Word of a former incarnation, or older than what is known,
     * changes nothing.
     */
    public void onHeartbeat(long nowMillis, HeartbeatNews news) {
        Peer peer = peers.get(news.vm());
        if (peer != null && news.incarnation() >= peer.incarnation) {
            peer.connectionLostMillis = Long.MIN_VALUE;
        }
        onPassedOn(nowMillis, news);
    }

    /** Takes in words that another VM passed on, the digest of its heartbeat. */
    public void onDigest(long nowMillis, List<HeartbeatNews> digest) {
        digest.forEach(news -> onPassedOn(nowMillis, news));
    }

    private void onPassedOn(long nowMillis, HeartbeatNews news) {
        Peer peer = peers.get(news.vm());
        if (peer == null || peer == own || !onIncarnation(nowMillis, VmId.of(news.vm(), news.incarnation()))) {
            return;
        }
        boolean passedOnAndOld = news.beat() > 0 && news.beat() <= peer.beat;
        if (passedOnAndOld) {
            return;
        }
        boolean changed =
                !peer.heard || peer.ownWordLeaving != news.leaving() || !peer.ownedShards.equals(news.ownedShards());
        peer.beat = Math.max(peer.beat, news.beat());
        peer.heard = true;
        peer.lastHeardMillis = nowMillis;
        // A VM that said once that it leaves does not come back in the same incarnation: a late copy of an older word
        // would send new work to a VM that stops.
        peer.ownWordLeaving |= news.leaving();
        peer.configurationNext = Math.max(peer.configurationNext, news.configurationNext());
        peer.configurationAgeMillis = news.configurationAgeMillis();
        peer.ownedShards = List.copyOf(news.ownedShards());
        peer.timesPassedOn = 0;
        refreshAlive(nowMillis, changed);
    }

    /**
     * Whether a message from this incarnation counts. A newer incarnation than any heard of replaces the former one.
     *
     * <p>Guards against a VM replaced at the same address: late messages of its former process would otherwise be
     * taken for the new one's. They show as an incarnation below the newest; incarnations only rise, so a lower one is
     * from a process that has been replaced.
     */
    public boolean onIncarnation(long nowMillis, VmId id) {
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
            peer.lastHeardMillis = nowMillis;
            peer.heard = true;
            refreshAlive(nowMillis, true);
        }
        return true;
    }

    /** Notes a lost connection: unless the VM is heard again soon, it counts as not alive early. */
    public void onConnectionLost(long nowMillis, VmId id) {
        Peer peer = peers.get(id.name());
        if (peer == null || peer == own || id.incarnation() < peer.incarnation) {
            return;
        }
        peer.connectionLostMillis = nowMillis;
    }

    /** Says what this VM tells others about itself from now on. */
    public void describeSelf(
            long configurationNext, long configurationAgeMillis, boolean leaving, List<Integer> ownedShards) {
        boolean changed = own.ownWordLeaving != leaving || !own.ownedShards.equals(ownedShards);
        own.configurationNext = configurationNext;
        own.configurationAgeMillis = configurationAgeMillis;
        own.ownWordLeaving |= leaving;
        own.ownedShards = List.copyOf(ownedShards);
        if (changed) {
            listeners.forEach(Runnable::run);
        }
    }

    /** Finds VMs that have fallen silent. */
    public void tick(long nowMillis) {
        refreshAlive(nowMillis, false);
    }

    private void refreshAlive(long nowMillis, boolean alreadyChanged) {
        boolean changed = alreadyChanged;
        own.lastHeardMillis = nowMillis;
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
        if (!peer.heard) {
            return false;
        }
        return !isLost(nowMillis, peer) && nowMillis - peer.lastHeardMillis < settings.silenceMillis(peers.size());
    }

    /**
     * Whether the connection was lost a while ago and no word came since. Word that comes within one round of the loss
     * may be from before it, passed on by others, so it does not count as a sign of life.
     */
    private boolean isLost(long nowMillis, Peer peer) {
        return peer.connectionLostMillis != Long.MIN_VALUE
                && nowMillis - peer.connectionLostMillis >= settings.lostConnectionMillis()
                && peer.lastHeardMillis - peer.connectionLostMillis < settings.heartbeatMillis();
    }

    /** Every entry VM that is listed, this one among them, in the order of the names. */
    public List<Member> entries() {
        return entryPeers().stream().map(Peer::toMember).toList();
    }

    /** The entries that are alive, leaving ones among them. */
    public List<Member> liveEntries() {
        return entries().stream().filter(Member::alive).toList();
    }

    /** One entry by the name of its VM. */
    public Optional<Member> entry(String name) {
        return Optional.ofNullable(peers.get(name))
                .filter(peer -> peer.vm.role() == VmRole.ENTRY)
                .map(Peer::toMember);
    }

    /** The listed sidecars. Whether one is alive is told by its reports, not here. */
    public List<Vm> sidecars() {
        return peers.values().stream()
                .map(peer -> peer.vm)
                .filter(vm -> vm.role() == VmRole.SIDECAR)
                .sorted(Comparator.comparing(Vm::name))
                .toList();
    }

    /**
     * VMs that are due a heartbeat now; empty between two rounds. The number is bounded by the fan-out whatever the
     * size of the fleet: a sidecar speaks to entries only, nearest first, an entry to other entries.
     */
    public List<String> heartbeatTargets(long nowMillis) {
        List<String> targets = schedule.targets(nowMillis, own.vm, entryPeers());
        if (!targets.isEmpty()) {
            own.beat++;
        }
        return targets;
    }

    /** This VM's own word, to go at the head of a heartbeat. */
    public HeartbeatNews ownNews() {
        return own.toNews();
    }

    /** Words about other entries that ride on the heartbeat to one target, the least passed on first. */
    public List<HeartbeatNews> digest(String target) {
        return schedule.digest(target, own, entryPeers());
    }

    /** The entry that should claim a shard: rendezvous hashing over the live entries that are not leaving. */
    public Optional<String> candidate(int shard) {
        List<String> names = entryPeers().stream()
                .filter(peer -> peer.alive && !peer.leaving())
                .map(peer -> peer.vm.name())
                .toList();
        return Rendezvous.winner("shard-" + shard, names);
    }

    /** Calls back after a VM came, went, fell silent, restarted, said that it leaves, or owns other shards. */
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
