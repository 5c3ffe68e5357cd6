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
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import org.quetzalshunt.core.admission.ProgramRequest;
import org.quetzalshunt.core.dispatch.Dispatcher;
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

/**
 * Links to the other gateways, for short-lived messages: requests for single tokens of an account's quota, loads of
 * endpoints, locations of prompt prefixes, and exchange of turn histories and unspent budgets. No durable state
 * depends on them, and a gateway also works without them, with lower performance.
 */
final class PeerConnections implements LinkListener {
    /**
     * Reported instead of the time since the last contact with the store by a VM that finds the store unavailable.
     * Guards against a full outage in which each VM sends its callers to the others, because their last contacts are
     * still recent.
     */
    static final long STORE_UNAVAILABLE = Long.MAX_VALUE;

    private final EventLoopGroup group;
    private final EventExecutor executor;
    private final GatewaySettings settings;
    private final EndpointTable endpoints;
    private final SpeedExchange speeds;
    private final NodeClock clock;
    private final DecisionLog log;
    /** Open links by peer, newest first. A peer has two links when both VMs connect to each other at the same time. */
    private final Map<String, Deque<PeerLink>> links = new HashMap<>();

    private final TokenExchange tokens;
    private final StoreContacts storeContacts;
    private final LoadBroadcast broadcast;
    private final AccountShareControl shares;
    private final IntConsumer remoteBytesSent;
    private ChainExchange chains;
    private Dispatcher dispatcher;
    private LinkConnector connector;

    /**
     * Creates connections that are not started before the shared secret is known.
     *
     * @param localFirst whether requests stay in this VM's data centre while it has free slots
     * @param owner takes tokens of an account from this VM's share, for peers
     * @param storeAgeMillis time since this VM last reached the store, or {@link #STORE_UNAVAILABLE} while it finds the
     *     store unavailable
     * @param remoteBytesSent receives the size of each message to a peer in another data centre
     */
    PeerConnections(
            EventLoopGroup group,
            GatewaySettings settings,
            EndpointTable endpoints,
            SpeedExchange speeds,
            BooleanSupplier localFirst,
            NodeClock clock,
            DecisionLog log,
            TokenExchange.Owner owner,
            LongSupplier storeAgeMillis,
            AccountShareControl shares,
            IntConsumer remoteBytesSent) {
        this.group = group;
        this.executor = group.next();
        this.settings = settings;
        this.endpoints = endpoints;
        this.speeds = speeds;
        this.clock = clock;
        this.log = log;
        this.tokens = new TokenExchange(executor, owner);
        this.remoteBytesSent = remoteBytesSent;
        this.storeContacts = new StoreContacts(clock);
        this.shares = shares;
        this.broadcast = new LoadBroadcast(
                executor,
                clock,
                settings.dataCentre(),
                endpoints,
                speeds,
                localFirst,
                storeAgeMillis,
                this::openLinks,
                shares);
    }

    /** Sets the receiver of messages about turns and budgets; must be called before the start. */
    void setChains(ChainExchange exchange) {
        chains = exchange;
    }

    /** Sets the receiver of the peers' numbers of waiting requests; must be called before the start. */
    void setDispatcher(Dispatcher receiver) {
        dispatcher = receiver;
        broadcast.setWaiting(receiver::waiting);
    }

    /** Starts listening for peer connections, authenticated with the shared secret. */
    void start(byte[] secret) {
        if (connector != null) {
            return;
        }
        LinkIdentity self =
                new LinkIdentity(VmId.of(settings.vm(), settings.incarnation()), VmRole.ENTRY, settings.dataCentre());
        LinkSettings linkSettings = new LinkSettings(self, secret, BroadcastInterval.PEER_TIMEOUT_MILLIS);
        LinkServer.startAsync(group, settings.linkAddress(), linkSettings, this);
        connector = LinkConnector.create(group, linkSettings, this);
        broadcast.start();
    }

    /**
     * Sets the members of the fleet. Of two VMs, the one that started later opens the link, since it can read the
     * heartbeat of the other as soon as it starts.
     */
    void setPeers(Map<String, VmHeartbeat> members) {
        if (connector == null) {
            return;
        }
        Set<InetSocketAddress> addresses = new HashSet<>();
        members.forEach((vm, heartbeat) -> {
            boolean startedLater = settings.incarnation() != heartbeat.incarnation()
                    ? settings.incarnation() > heartbeat.incarnation()
                    : settings.vm().compareTo(vm) > 0;
            if (startedLater) {
                IpPort.parse(heartbeat.linkAddress()).ifPresent(addresses::add);
            }
        });
        connector.setAddresses(addresses);
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

    /** Bytes of messages that peers have not read. */
    long unreadBytes() {
        return openLinks().stream().mapToLong(PeerLink::unreadBytes).sum();
    }

    /** Sends a message over the link to a peer, if there is one. */
    void send(String vm, Message message) {
        link(vm).ifPresent(link -> link.send(message));
    }

    /** Requests a token from a peer. A missing link or answer counts as no token. */
    void requestToken(
            String vm, String account, ProgramRequest request, long maximumWaitMillis, Consumer<TokenOffer> listener) {
        Optional<PeerLink> link = link(vm);
        if (link.isEmpty()) {
            listener.accept(TokenOffer.NONE);
            return;
        }
        tokens.request(link.get()::send, account, request, maximumWaitMillis, listener);
    }

    @Override
    public void onOpen(PeerLink link) {
        links.computeIfAbsent(link.remote().id().name(), ignored -> new ArrayDeque<>())
                .addFirst(link);
        if (!link.remote().dataCentre().equals(settings.dataCentre())) {
            link.onSentBytes(remoteBytesSent);
        }
        log.write(log.event("link-open").put("peer", link.remote().id().toString()));
    }

    @Override
    public void onMessage(PeerLink link, Message message) {
        if (message.isSetTokenRequest()) {
            tokens.onRequest(link::send, message.getTokenRequest());
        } else if (message.isSetTokenAnswer()) {
            tokens.onAnswer(link::send, message.getTokenAnswer());
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
        dispatcher.onPeerWaiting(vm, loads.isSetWaiting() ? loads.getWaiting() : Map.of());
        shares.onPeerLoads(vm, loads);
        endpoints.onPeerPrefixLocations(LoadBroadcast.locations(loads));
        speeds.onLoads(vm, loads);
        storeContacts.onReport(vm, peer.dataCentre(), loads.getProofAgeMillis());
    }

    /** Whether some peer reached the store recently. */
    boolean anyPeerReachesStore() {
        return storeContacts.anyRecent();
    }

    /** Whether some peer reached the store recently and after a given time on this VM's clock. */
    boolean anyPeerReachedStoreSince(long sinceMillis) {
        return storeContacts.anyRecentSince(sinceMillis);
    }

    /**
     * Whether some peer in this VM's data centre reached the store recently, so that a caller's retry may arrive at
     * it.
     */
    boolean anyLocalPeerReachesStore() {
        return storeContacts.anyRecentIn(settings.dataCentre());
    }

    @Override
    public void onClose(PeerLink link) {
        String vm = link.remote().id().name();
        Deque<PeerLink> open = links.get(vm);
        if (open != null && open.remove(link) && open.isEmpty()) {
            links.remove(vm);
            endpoints.removePeer(vm);
            dispatcher.removePeer(vm);
            storeContacts.removePeer(vm);
            broadcast.removePeer(vm);
        }
        log.write(log.event("link-closed").put("peer", link.remote().id().toString()));
    }
}
