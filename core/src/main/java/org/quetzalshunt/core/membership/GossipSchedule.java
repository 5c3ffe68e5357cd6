package org.quetzalshunt.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;

/**
 * Selects the targets of the heartbeats in each round, and the heartbeats of other VMs that are forwarded with them.
 */
final class GossipSchedule {
    /**
     * A heartbeat that was forwarded this often has reached every VM, except with a probability below one in a
     * thousand.
     */
    private static final int MAXIMUM_TIMES_FORWARDED = 12;

    private final MembershipSettings settings;
    private final SplittableRandom random;
    private long nextRoundMillis = Long.MIN_VALUE;

    private GossipSchedule(VmId self, MembershipSettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(Rendezvous.weight(self.name(), Long.toString(self.incarnation())));
    }

    static GossipSchedule create(VmId self, MembershipSettings settings) {
        return new GossipSchedule(self, settings);
    }

    List<String> targets(long nowMillis, Vm self, List<Peer> entries) {
        if (nowMillis < nextRoundMillis) {
            return List.of();
        }
        nextRoundMillis = nowMillis + settings.heartbeatIntervalMillis();
        List<Peer> others = new ArrayList<>(entries);
        others.removeIf(peer -> peer.vm.name().equals(self.name()));
        shuffle(others);
        if (self.role() == VmRole.SIDECAR) {
            others.sort(Comparator.comparing(peer -> !peer.vm.dataCentre().equals(self.dataCentre())));
        }
        // Peers that are not alive come last, so that dead VMs of a lagging list do not use up the fan-out. In a small
        // fleet there is room for them, so a peer that was disconnected is contacted again. In a large fleet, that peer
        // contacts this VM.
        others.sort(Comparator.comparing(peer -> !peer.alive));
        return others.stream()
                .limit(settings.fanOut())
                .map(peer -> peer.vm.name())
                .toList();
    }

    List<MemberHeartbeat> digest(String target, Peer own, List<Peer> entries) {
        List<Peer> candidates = new ArrayList<>(entries);
        candidates.removeIf(peer -> peer == own
                || !peer.alive
                || peer.sequence == 0
                || peer.timesForwarded >= MAXIMUM_TIMES_FORWARDED
                || peer.vm.name().equals(target));
        shuffle(candidates);
        candidates.sort(Comparator.comparingInt(peer -> peer.timesForwarded));
        List<MemberHeartbeat> heartbeats = new ArrayList<>();
        for (Peer peer : candidates.subList(0, Math.min(settings.digestEntries(), candidates.size()))) {
            peer.timesForwarded++;
            heartbeats.add(peer.toHeartbeat());
        }
        return heartbeats;
    }

    private void shuffle(List<Peer> list) {
        for (int index = list.size() - 1; index > 0; index--) {
            Collections.swap(list, index, random.nextInt(index + 1));
        }
    }
}
