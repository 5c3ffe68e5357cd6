package org.quetzalshunt.server.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quetzalshunt.core.membership.HeartbeatNews;
import org.quetzalshunt.core.membership.Member;
import org.quetzalshunt.core.membership.Membership;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.Heartbeat;
import org.quetzalshunt.wire.generated.Message;

/** Links and heartbeats to other entries and to sidecars. */
final class Peers {
    /** Below half of the silence after which a link counts as dead, so that one late heartbeat does no harm. */
    private static final long KEEP_ALIVE_MILLIS = 1_000;

    private final VmId self;
    private final EntryClock clock;
    private final Membership membership;
    private final ConfigurationHost configuration;
    private final Map<String, PeerLink> entries = new HashMap<>();
    private final Map<String, Long> lastSentByPeer = new HashMap<>();
    private long keptAliveMillis;

    Peers(VmId self, EntryClock clock, Membership membership, ConfigurationHost configuration) {
        this.self = self;
        this.clock = clock;
        this.membership = membership;
        this.configuration = configuration;
    }

    /** Addresses to which this entry opens links: all sidecars, and the entries whose names come after its own. */
    Set<InetSocketAddress> wantedAddresses() {
        Set<InetSocketAddress> addresses = new HashSet<>();
        for (Vm vm : membership.sidecars()) {
            addresses.add(new InetSocketAddress(vm.host(), vm.port()));
        }
        for (Member member : membership.entries()) {
            if (member.vm().name().compareTo(self.name()) > 0) {
                addresses.add(
                        new InetSocketAddress(member.vm().host(), member.vm().port()));
            }
        }
        return addresses;
    }

    void linkOpened(PeerLink link) {
        if (link.remote().role() == VmRole.ENTRY) {
            entries.put(link.remote().id().name(), link);
        }
        link.send(heartbeat(link.remote().id().name(), List.of()));
    }

    void linkClosed(PeerLink link) {
        if (entries.remove(link.remote().id().name(), link)) {
            membership.onConnectionLost(clock.now(), link.remote().id());
        }
    }

    void onHeartbeat(PeerLink link, Heartbeat heartbeat) {
        VmId sender = link.remote().id();
        membership.onHeartbeat(clock.now(), Heartbeats.own(sender.name(), sender.incarnation(), heartbeat));
        membership.onDigest(clock.now(), Heartbeats.digest(heartbeat));
        lastSentByPeer.put(link.remote().id().name(), heartbeat.getSentMillis());
        if (heartbeat.isSetEchoedSentMillis()) {
            configuration
                    .freshness()
                    .heard(
                            link.remote().id().name(),
                            heartbeat.getConfigurationNext(),
                            heartbeat.getConfigurationAgeMillis(),
                            heartbeat.getEchoedSentMillis());
        }
    }

    /** Sends the heartbeats that are due: to the round's targets, and to every link that would fall silent. */
    void tick(Map<String, PeerLink> sidecars, List<Integer> ownedShards, boolean leaving) {
        long now = clock.now();
        membership.describeSelf(
                configuration.configuration().next(), configuration.freshness().ageMillis(now), leaving, ownedShards);
        membership.tick(now);
        configuration
                .freshness()
                .peersListed(membership.entries().stream()
                        .map(member -> member.id().name())
                        .filter(name -> !name.equals(self.name()))
                        .toList());
        for (String target : membership.heartbeatTargets(now)) {
            PeerLink link = entries.get(target);
            if (link != null) {
                link.send(heartbeat(target, membership.digest(target)));
            }
        }
        if (now - keptAliveMillis >= KEEP_ALIVE_MILLIS) {
            keptAliveMillis = now;
            entries.values().forEach(this::send);
            sidecars.values().forEach(this::send);
        }
    }

    private void send(PeerLink link) {
        link.send(heartbeat(link.remote().id().name(), List.of()));
    }

    private Message heartbeat(String target, List<HeartbeatNews> digest) {
        Heartbeat heartbeat = Heartbeats.write(membership.ownNews(), digest, clock.now());
        Long echoed = lastSentByPeer.get(target);
        if (echoed != null) {
            heartbeat.setEchoedSentMillis(echoed);
        }
        return Message.heartbeat(heartbeat);
    }

    Map<String, PeerLink> entryLinks() {
        return entries;
    }
}
