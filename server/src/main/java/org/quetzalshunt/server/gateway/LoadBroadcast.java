package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.quetzalshunt.core.routing.BroadcastInterval;
import org.quetzalshunt.core.routing.EndpointTable;
import org.quetzalshunt.core.routing.PrefixLocation;
import org.quetzalshunt.core.routing.PrefixPart;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.EndpointLoads;
import org.quetzalshunt.wire.generated.EndpointPace;
import org.quetzalshunt.wire.generated.Message;
import org.quetzalshunt.wire.generated.PromptPlaced;

/**
 * Sends peers the load of this VM at each endpoint, the failure rates and speeds that it measures there, and the
 * endpoints to which it sent prompt prefixes. These messages are also the heartbeats of the links.
 */
final class LoadBroadcast {
    /** Interval at which peers are checked for a due message. */
    private static final long CHECK_INTERVAL_MILLIS = 50;

    /**
     * Maximum number of prefix locations that are queued for a slow peer; the oldest are dropped, since the newest are
     * the most useful.
     */
    private static final int MAXIMUM_LOCATIONS = 512;

    private static final class PeerState {
        final ArrayDeque<PromptPlaced> pendingLocations = new ArrayDeque<>();
        final Map<String, EndpointPace> pendingPaces = new LinkedHashMap<>();
        long sentMillis = Long.MIN_VALUE / 2;

        void addLocations(List<PromptPlaced> locations) {
            pendingLocations.addAll(locations);
            while (pendingLocations.size() > MAXIMUM_LOCATIONS) {
                pendingLocations.removeFirst();
            }
        }

        Map<String, EndpointPace> takePaces() {
            Map<String, EndpointPace> paces = new HashMap<>();
            Iterator<Map.Entry<String, EndpointPace>> pending =
                    pendingPaces.entrySet().iterator();
            while (pending.hasNext() && paces.size() < SpeedExchange.MAXIMUM_PER_MESSAGE) {
                Map.Entry<String, EndpointPace> next = pending.next();
                paces.put(next.getKey(), next.getValue());
                pending.remove();
            }
            return paces;
        }
    }

    private final EventExecutor executor;
    private final NodeClock clock;
    private final String dataCentre;
    private final EndpointTable endpoints;
    private final SpeedExchange speeds;
    private final BooleanSupplier sendsSharedOnly;
    private final LongSupplier storeAgeMillis;
    private final Supplier<Collection<PeerLink>> links;
    private final AccountShareControl shares;
    private final Map<String, PeerState> peers = new HashMap<>();
    private Supplier<Map<String, Integer>> waiting = Map::of;

    /**
     * Creates a broadcast that is not started.
     *
     * @param sendsSharedOnly whether other data centres get only locations of parts that several programs use
     * @param storeAgeMillis time since this VM last reached the store
     * @param links one open link to each peer
     */
    LoadBroadcast(
            EventExecutor executor,
            NodeClock clock,
            String dataCentre,
            EndpointTable endpoints,
            SpeedExchange speeds,
            BooleanSupplier sendsSharedOnly,
            LongSupplier storeAgeMillis,
            Supplier<Collection<PeerLink>> links,
            AccountShareControl shares) {
        this.executor = executor;
        this.clock = clock;
        this.dataCentre = dataCentre;
        this.endpoints = endpoints;
        this.speeds = speeds;
        this.sendsSharedOnly = sendsSharedOnly;
        this.storeAgeMillis = storeAgeMillis;
        this.links = links;
        this.shares = shares;
    }

    /** Sets the source of the numbers of requests that wait for a slot, by service. */
    void setWaiting(Supplier<Map<String, Integer>> source) {
        waiting = source;
    }

    void start() {
        executor.scheduleWithFixedDelay(this::sendDueMessages, 0, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Discards the state of a peer that has no open link. */
    void removePeer(String vm) {
        peers.remove(vm);
    }

    private void sendDueMessages() {
        Collection<PeerLink> open = links.get();
        List<PrefixLocation> newLocations = endpoints.takeNewLocations();
        Map<String, EndpointPace> changedPaces = speeds.takeChanges(open.size());
        int remotePeers = (int) open.stream().filter(link -> !isLocal(link)).count();
        long now = clock.now();
        EndpointLoads loads = null;
        for (PeerLink link : open) {
            PeerState peer = peers.computeIfAbsent(link.remote().id().name(), ignored -> newPeer(open.size()));
            peer.addLocations(toWire(newLocations, isLocal(link) || !sendsSharedOnly.getAsBoolean()));
            peer.pendingPaces.putAll(changedPaces);
            boolean due = now - peer.sentMillis >= BroadcastInterval.millis(isLocal(link), remotePeers);
            if (due && link.isWritable()) {
                loads = loads == null ? loads(now, open, remotePeers) : loads;
                send(now, link, peer, loads);
            }
        }
    }

    private PeerState newPeer(int peerCount) {
        PeerState peer = new PeerState();
        peer.pendingPaces.putAll(speeds.forNewPeer(peerCount));
        return peer;
    }

    private static void send(long now, PeerLink link, PeerState peer, EndpointLoads loads) {
        EndpointLoads message = new EndpointLoads(loads);
        message.setPlaced(List.copyOf(peer.pendingLocations));
        Map<String, EndpointPace> paces = peer.takePaces();
        if (!paces.isEmpty()) {
            message.setPaces(paces);
        }
        link.send(Message.endpointLoads(message));
        peer.pendingLocations.clear();
        peer.sentMillis = now;
    }

    private EndpointLoads loads(long now, Collection<PeerLink> open, int remotePeers) {
        EndpointLoads loads = new EndpointLoads(endpoints.requestsInFlight(), storeAgeMillis.getAsLong());
        loads.setFailing(endpoints.failureRates(now));
        loads.setUnread(endpoints.prefillBacklog());
        Map<String, Integer> waitingNow = waiting.get();
        if (!waitingNow.isEmpty()) {
            loads.setWaiting(waitingNow);
        }
        shares.addReport(loads, BroadcastInterval.messagesPerSecond(open.size() - remotePeers, remotePeers));
        return loads;
    }

    private boolean isLocal(PeerLink link) {
        return link.remote().dataCentre().equals(dataCentre);
    }

    /**
     * Encodes prefix locations for a peer.
     *
     * @param all whether the peer also gets parts that only one program has used
     */
    private List<PromptPlaced> toWire(List<PrefixLocation> locations, boolean all) {
        return locations.stream()
                .filter(location -> all || endpoints.isSharedPrefix(location.part()))
                .map(location -> new PromptPlaced(
                        location.endpoint(),
                        location.part().id(),
                        location.part().tokens()))
                .toList();
    }

    /** Decodes the prefix locations of a peer's message. */
    static List<PrefixLocation> locations(EndpointLoads loads) {
        if (!loads.isSetPlaced()) {
            return List.of();
        }
        return loads.getPlaced().stream()
                .filter(each -> each.getEndpoint() != null && each.getPart() != null)
                .map(each -> new PrefixLocation(each.getEndpoint(), new PrefixPart(each.getPart(), each.getTokens())))
                .toList();
    }
}
