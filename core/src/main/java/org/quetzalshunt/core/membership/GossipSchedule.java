package org.quetzalshunt.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;

/** To whom heartbeats go each round, and which words about others ride on them. */
final class GossipSchedule {
    /** A word that was passed on this often has reached everybody, but for a chance below one in a thousand. */
    private static final int ENOUGH_TIMES_PASSED_ON = 12;

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
        nextRoundMillis = nowMillis + settings.heartbeatMillis();
        List<Peer> others = new ArrayList<>(entries);
        others.removeIf(peer -> peer.vm.name().equals(self.name()));
        shuffle(others);
        if (self.role() == VmRole.SIDECAR) {
            others.sort(Comparator.comparing(peer -> !peer.vm.dataCentre().equals(self.dataCentre())));
        }
        // Silent peers go last, so that dead VMs in a lagging list do not eat the fan-out; they still get their turn
        // while there is room, which is how a peer that was cut off is found again in a small fleet. In a large one it
        // finds us.
        others.sort(Comparator.comparing(peer -> !peer.alive));
        return others.stream()
                .limit(settings.fanOut())
                .map(peer -> peer.vm.name())
                .toList();
    }

    List<HeartbeatNews> digest(String target, Peer own, List<Peer> entries) {
        List<Peer> fresh = new ArrayList<>(entries);
        fresh.removeIf(peer -> peer == own
                || !peer.alive
                || peer.beat == 0
                || peer.timesPassedOn >= ENOUGH_TIMES_PASSED_ON
                || peer.vm.name().equals(target));
        shuffle(fresh);
        fresh.sort(Comparator.comparingInt(peer -> peer.timesPassedOn));
        List<HeartbeatNews> news = new ArrayList<>();
        for (Peer peer : fresh.subList(0, Math.min(settings.digestEntries(), fresh.size()))) {
            peer.timesPassedOn++;
            news.add(peer.toNews());
        }
        return news;
    }

    private void shuffle(List<Peer> list) {
        for (int index = list.size() - 1; index > 0; index--) {
            Collections.swap(list, index, random.nextInt(index + 1));
        }
    }
}
