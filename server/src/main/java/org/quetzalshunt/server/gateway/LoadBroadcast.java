package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.quetzalshunt.core.routing.BroadcastInterval;
import org.quetzalshunt.core.routing.EndpointTable;
import org.quetzalshunt.core.routing.PrefixLocation;
import org.quetzalshunt.core.routing.PrefixPart;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.EndpointLoads;
import org.quetzalshunt.wire.generated.Message;
import org.quetzalshunt.wire.generated.PromptPlaced;

/**
 * Tells peers what this VM runs at each endpoint, which endpoints fail its requests and which prompt prefixes it sent where.
 * The messages are the links' heartbeats as well.
 */
final class LoadBroadcast {
    /** How often peers are looked through for those whose message is due. */
    private static final long TICK_MILLIS = 50;

    /** Locations kept for a peer that does not keep up; the newest are worth most. */
    private static final int MOST_LOCATIONS = 512;

    private static final class Peer {
        final ArrayDeque<PromptPlaced> placed = new ArrayDeque<>();
        long sentMillis = Long.MIN_VALUE / 2;

        void add(List<PromptPlaced> locations) {
            placed.addAll(locations);
            while (placed.size() > MOST_LOCATIONS) {
                placed.removeFirst();
            }
        }
    }

    private final EventExecutor executor;
    private final NodeClock clock;
    private final String dataCentre;
    private final EndpointTable endpoints;
    private final LongSupplier storeAgeMillis;
    private final Supplier<Collection<PeerLink>> links;
    private final Map<String, Peer> peers = new HashMap<>();

    /**
     * Makes a broadcast that has not begun.
     *
     * @param storeAgeMillis time since this VM reached the shared store
     * @param links one open link to each peer
     */
    LoadBroadcast(
            EventExecutor executor,
            NodeClock clock,
            String dataCentre,
            EndpointTable endpoints,
            LongSupplier storeAgeMillis,
            Supplier<Collection<PeerLink>> links) {
        this.executor = executor;
        this.clock = clock;
        this.dataCentre = dataCentre;
        this.endpoints = endpoints;
        this.storeAgeMillis = storeAgeMillis;
        this.links = links;
    }

    void start() {
        executor.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A peer is gone. */
    void removed(String vm) {
        peers.remove(vm);
    }

    private void tick() {
        Collection<PeerLink> open = links.get();
        List<PromptPlaced> placed = newLocations();
        int remote = (int) open.stream().filter(link -> !isLocal(link)).count();
        long now = clock.now();
        EndpointLoads loads = null;
        for (PeerLink link : open) {
            Peer peer = peers.computeIfAbsent(link.remote().id().name(), ignored -> new Peer());
            peer.add(placed);
            boolean due = now - peer.sentMillis >= BroadcastInterval.millis(isLocal(link), remote);
            if (due && link.isWritable()) {
                loads = loads == null ? loads(now) : loads;
                send(now, link, peer, loads);
            }
        }
    }

    private static void send(long now, PeerLink link, Peer peer, EndpointLoads loads) {
        EndpointLoads message = new EndpointLoads(loads);
        message.setPlaced(List.copyOf(peer.placed));
        link.send(Message.endpointLoads(message));
        peer.placed.clear();
        peer.sentMillis = now;
    }

    private EndpointLoads loads(long now) {
        EndpointLoads loads = new EndpointLoads(endpoints.running(), storeAgeMillis.getAsLong());
        loads.setFailing(endpoints.failing(now));
        loads.setUnread(endpoints.unread());
        return loads;
    }

    private boolean isLocal(PeerLink link) {
        return link.remote().dataCentre().equals(dataCentre);
    }

    private List<PromptPlaced> newLocations() {
        return endpoints.takeNewLocations().stream()
                .map(location -> new PromptPlaced(
                        location.endpoint(),
                        location.part().id(),
                        location.part().tokens()))
                .toList();
    }

    /** The locations of prefixes in a peer's message. */
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
