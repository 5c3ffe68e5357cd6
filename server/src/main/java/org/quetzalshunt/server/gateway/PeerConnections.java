package org.quetzalshunt.server.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quetzalshunt.core.quota.TokenOffer;
import org.quetzalshunt.core.quota.VmHeartbeat;
import org.quetzalshunt.core.routing.BroadcastInterval;
import org.quetzalshunt.core.routing.EndpointTable;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.server.http.IpPort;
import org.quetzalshunt.server.transport.LinkConnector;
import org.quetzalshunt.server.transport.LinkIdentity;
import org.quetzalshunt.server.transport.LinkListener;
import org.quetzalshunt.server.transport.LinkServer;
import org.quetzalshunt.server.transport.LinkSettings;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.EndpointLoads;
import org.quetzalshunt.wire.generated.Message;
import org.quetzalshunt.wire.generated.TokenAnswer;
import org.quetzalshunt.wire.generated.TokenRequest;

/**
 * Links to the other gateways, for what is of use only at once: single tokens of an account's quota from the VMs that own
 * it, loads of endpoints, and locations of prompt prefixes. Nothing that lasts goes over them, and each gateway works on
 * without them, only less well.
 */
final class PeerConnections implements LinkListener {
    /** Ten round trips between data centres; an owner that takes longer is overloaded or gone. */
    private static final long TOKEN_MILLIS = 25;

    /**
     * Reported in place of the time since the store was reached by a VM that finds it unavailable. Guards against an outage
     * for all in which each VM sends its callers to the others, because their last contacts are still recent.
     */
    static final long STORE_UNAVAILABLE = Long.MAX_VALUE;

    /** On the wire: no token, or no wait after which there is one. */
    private static final long NO_TOKEN = -1;

    private final EventLoopGroup group;
    private final EventExecutor executor;
    private final GatewaySettings settings;
    private final EndpointTable endpoints;
    private final NodeClock clock;
    private final DecisionLog log;
    private final BiFunction<String, Long, TokenOffer> grantToken;
    /** Open links by peer, the newest first: two VMs that connect to each other at once have two. */
    private final Map<String, Deque<PeerLink>> links = new HashMap<>();

    private final Map<Long, Consumer<TokenOffer>> pendingTokens = new HashMap<>();
    private final StoreContacts storeContacts;
    private final LoadBroadcast broadcast;
    private ChainExchange chains;
    private LinkConnector connector;
    private long nextId;

    /**
     * Makes connections that wait for the shared secret.
     *
     * @param grantToken takes a token of an account from this VM's share, for a peer
     * @param storeAgeMillis time since this VM reached the store, {@link #STORE_UNAVAILABLE} as soon as it finds the store
     *     unavailable
     */
    PeerConnections(
            EventLoopGroup group,
            GatewaySettings settings,
            EndpointTable endpoints,
            NodeClock clock,
            DecisionLog log,
            BiFunction<String, Long, TokenOffer> grantToken,
            LongSupplier storeAgeMillis) {
        this.group = group;
        this.executor = group.next();
        this.settings = settings;
        this.endpoints = endpoints;
        this.clock = clock;
        this.log = log;
        this.grantToken = grantToken;
        this.storeContacts = new StoreContacts(clock);
        this.broadcast =
                new LoadBroadcast(executor, clock, settings.dataCentre(), endpoints, storeAgeMillis, this::openLinks);
    }

    /** Sets the receiver of messages about turns; before the start. */
    void setChains(ChainExchange exchange) {
        chains = exchange;
    }

    /** Starts listening for peer connections, authenticated with the shared secret. */
    void start(byte[] secret) {
        if (connector != null) {
            return;
        }
        LinkIdentity self =
                new LinkIdentity(VmId.of(settings.vm(), settings.incarnation()), VmRole.ENTRY, settings.dataCentre());
        LinkSettings linkSettings = new LinkSettings(self, secret, BroadcastInterval.SILENCE_MILLIS);
        LinkServer.startLater(group, settings.links(), linkSettings, this);
        connector = LinkConnector.create(group, linkSettings, this);
        broadcast.start();
    }

    /** Sets the members of the fleet. Of two VMs, the one that started later connects, since it knows the other first. */
    void setPeers(Map<String, VmHeartbeat> members) {
        if (connector == null) {
            return;
        }
        Set<InetSocketAddress> addresses = new HashSet<>();
        members.forEach((vm, heartbeat) -> {
            boolean later = settings.incarnation() != heartbeat.incarnation()
                    ? settings.incarnation() > heartbeat.incarnation()
                    : settings.vm().compareTo(vm) > 0;
            if (later) {
                IpPort.parse(heartbeat.linkAddress()).ifPresent(addresses::add);
            }
        });
        connector.want(addresses);
    }

    private Optional<PeerLink> link(String vm) {
        return Optional.ofNullable(links.get(vm)).map(Deque::peekFirst).filter(PeerLink::isOpen);
    }

    private Collection<PeerLink> openLinks() {
        List<PeerLink> open = new ArrayList<>();
        links.keySet().forEach(vm -> link(vm).ifPresent(open::add));
        return open;
    }

    /** Whether there is an open link to a peer. */
    boolean isConnected(String vm) {
        return link(vm).isPresent();
    }

    /** Names of the peers with an open link. */
    List<String> connectedVms() {
        return links.keySet().stream().filter(this::isConnected).toList();
    }

    /** Sends a message over the link to a peer, if there is one. */
    void send(String vm, Message message) {
        link(vm).ifPresent(link -> link.send(message));
    }

    /** Asks a peer for a token; one that does not answer has none. */
    void requestToken(String vm, String account, long maximumWaitMillis, Consumer<TokenOffer> listener) {
        Optional<PeerLink> link = link(vm);
        if (link.isEmpty()) {
            listener.accept(TokenOffer.NONE);
            return;
        }
        long id = nextId++;
        pendingTokens.put(id, listener);
        link.get().send(Message.tokenRequest(new TokenRequest(id, account, maximumWaitMillis)));
        executor.schedule(() -> answered(id, TokenOffer.NONE), TOKEN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void answered(long id, TokenOffer offer) {
        Consumer<TokenOffer> listener = pendingTokens.remove(id);
        if (listener != null) {
            listener.accept(offer);
        }
    }

    private static TokenOffer offer(TokenAnswer answer) {
        if (answer.getWaitMillis() >= 0) {
            return TokenOffer.taken(answer.getWaitMillis());
        }
        boolean later = answer.isSetShortestMillis() && answer.getShortestMillis() >= 0;
        return later ? TokenOffer.unavailableFor(answer.getShortestMillis()) : TokenOffer.NONE;
    }

    private void grantToken(PeerLink link, TokenRequest request) {
        if (request.getAccount() == null) {
            return;
        }
        TokenOffer offer = grantToken.apply(request.getAccount(), request.getMostWaitMillis());
        TokenAnswer answer = new TokenAnswer(request.getId(), offer.taken() ? offer.waitMillis() : NO_TOKEN);
        if (!offer.taken() && offer.waitMillis() != TokenOffer.NEVER) {
            answer.setShortestMillis(offer.waitMillis());
        }
        link.send(Message.tokenAnswer(answer));
    }

    @Override
    public void onOpen(PeerLink link) {
        links.computeIfAbsent(link.remote().id().name(), ignored -> new ArrayDeque<>())
                .addFirst(link);
        log.line(log.event("link-open").put("peer", link.remote().id().toString()));
    }

    @Override
    public void onMessage(PeerLink link, Message message) {
        if (message.isSetTokenRequest()) {
            grantToken(link, message.getTokenRequest());
        } else if (message.isSetTokenAnswer()) {
            answered(message.getTokenAnswer().getId(), offer(message.getTokenAnswer()));
        } else if (message.isSetTurnLocation()) {
            chains.onLocation(link.remote().id().name(), message.getTurnLocation());
        } else if (message.isSetChainRequest()) {
            chains.onRequest(message.getChainRequest());
        } else if (message.isSetChainAnswer()) {
            chains.onAnswer(message.getChainAnswer());
        } else if (message.isSetBudgetExhausted()) {
            chains.onPeerExhausted(message.getBudgetExhausted());
        } else if (message.isSetEndpointLoads() && message.getEndpointLoads().getRunning() != null) {
            onPeerLoads(link.remote(), message.getEndpointLoads());
        }
    }

    private void onPeerLoads(LinkIdentity peer, EndpointLoads loads) {
        String vm = peer.id().name();
        endpoints.onPeerRunning(vm, loads.getRunning());
        if (loads.isSetFailing()) {
            endpoints.onPeerFailureRates(clock.now(), loads.getFailing());
        }
        if (loads.isSetUnread()) {
            endpoints.onPeerPrefillBacklog(vm, loads.getUnread());
        }
        endpoints.onPeerPrefixes(LoadBroadcast.locations(loads));
        storeContacts.reported(vm, peer.dataCentre(), loads.getProofAgeMillis());
    }

    /** Whether some peer reached the store lately. */
    boolean anyPeerReachesStore() {
        return storeContacts.any();
    }

    /** Whether some peer reached the store after a moment on this VM's clock. */
    boolean anyPeerReachedStoreSince(long sinceMillis) {
        return storeContacts.anySince(sinceMillis);
    }

    /** Whether such a peer is in this data centre, so that a caller's retry may reach it. */
    boolean anyLocalPeerReachesStore() {
        return storeContacts.anyIn(settings.dataCentre());
    }

    @Override
    public void onClose(PeerLink link) {
        String vm = link.remote().id().name();
        Deque<PeerLink> open = links.get(vm);
        if (open != null && open.remove(link) && open.isEmpty()) {
            links.remove(vm);
            endpoints.removePeer(vm);
            storeContacts.removed(vm);
            broadcast.removed(vm);
        }
        log.line(log.event("link-closed").put("peer", link.remote().id().toString()));
    }
}
