package org.quetzalshunt.server.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quetzalshunt.core.membership.Member;
import org.quetzalshunt.core.membership.MemberHeartbeat;
import org.quetzalshunt.core.membership.Membership;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.Heartbeat;
import org.quetzalshunt.wire.generated.Message;

/** Tracks the links to other entries, and exchanges heartbeats with entries and sidecars. */
final class Peers {
    /** Less than half of the time after which a silent link is closed, so that one late heartbeat does not close it. */
    private static final long KEEP_ALIVE_INTERVAL_MILLIS = 1_000;

    private final VmId self;
    private final EntryClock clock;
    private final Membership membership;
    private final ConfigurationStream configurationStream;
    private final Map<String, PeerLink> entries = new HashMap<>();
    private final Map<String, Long> lastSentMillisByPeer = new HashMap<>();
    private long lastKeepAliveMillis;

    Peers(VmId self, EntryClock clock, Membership membership, ConfigurationStream configurationStream) {
        this.self = self;
        this.clock = clock;
        this.membership = membership;
        this.configurationStream = configurationStream;
    }

    /** Addresses to which this entry opens links: all sidecars, and the entries whose names sort after its own. */
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
        membership.onHeartbeat(clock.now(), HeartbeatCodec.decodeOwn(sender.name(), sender.incarnation(), heartbeat));
        membership.onDigest(clock.now(), HeartbeatCodec.decodeDigest(heartbeat));
        configurationStream.onPeerOffset(heartbeat.getConfigurationNext());
        lastSentMillisByPeer.put(link.remote().id().name(), heartbeat.getSentMillis());
        if (heartbeat.isSetEchoedSentMillis()) {
            configurationStream
                    .freshness()
                    .onPeerReport(
                            link.remote().id().name(),
                            heartbeat.getConfigurationNext(),
                            heartbeat.getConfigurationAgeMillis(),
                            heartbeat.getEchoedSentMillis());
        }
    }

    /**
     * Sends the heartbeats that are due: to the targets of this round and, at the keep-alive interval, on every link.
     */
    void tick(Map<String, PeerLink> sidecars, List<Integer> ownedShards, boolean leaving) {
        long now = clock.now();
        membership.announceState(
                configurationStream.configuration().nextOffset(),
                configurationStream.freshness().ageMillis(now),
                leaving,
                ownedShards);
        membership.tick(now);
        configurationStream
                .freshness()
                .setPeers(membership.entries().stream()
                        .map(member -> member.id().name())
                        .filter(name -> !name.equals(self.name()))
                        .toList());
        for (String target : membership.heartbeatTargets(now)) {
            PeerLink link = entries.get(target);
            if (link != null) {
                link.send(heartbeat(target, membership.digest(target)));
            }
        }
        if (now - lastKeepAliveMillis >= KEEP_ALIVE_INTERVAL_MILLIS) {
            lastKeepAliveMillis = now;
            entries.values().forEach(this::sendKeepAlive);
            sidecars.values().forEach(this::sendKeepAlive);
        }
    }

    private void sendKeepAlive(PeerLink link) {
        link.send(heartbeat(link.remote().id().name(), List.of()));
    }

    private Message heartbeat(String target, List<MemberHeartbeat> digest) {
        Heartbeat heartbeat = HeartbeatCodec.encode(membership.ownHeartbeat(), digest, clock.now());
        Long echoedSentMillis = lastSentMillisByPeer.get(target);
        if (echoedSentMillis != null) {
            heartbeat.setEchoedSentMillis(echoedSentMillis);
        }
        return Message.heartbeat(heartbeat);
    }

    Map<String, PeerLink> entryLinks() {
        return entries;
    }
}
