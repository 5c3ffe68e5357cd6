package org.quetzalshunt.server.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quetzalshunt.core.quota.LeaseRecord;
import org.quetzalshunt.core.quota.TokenOffer;
import org.quetzalshunt.core.routing.EndpointTable;
import org.quetzalshunt.core.routing.PrefixLocation;
import org.quetzalshunt.core.routing.PrefixPart;
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
import org.quetzalshunt.wire.generated.PromptPlaced;
import org.quetzalshunt.wire.generated.TokenAnswer;
import org.quetzalshunt.wire.generated.TokenRequest;

/**
 * Links to the other gateways, for what is of use only at once: single tokens of a rate from an account's home, how much runs
 * and fails where, and where prompts lie in engines' memory. Nothing that lasts goes over them, and each gateway works on
 * without them, only less well.
 */
final class PeerConnections implements LinkListener {
    /**
     * Loads are told this often while eight VMs serve, and in proportion less often as there are more. A turn takes about
     * this long.
     */
    private static final long LOADS_MILLIS = 250;

    private static final int VMS_AT_FULL_PACE = 8;

    /** Loads that did not change are told this often, which also keeps the link from falling silent. */
    private static final long REPEAT_MILLIS = 500;

    /** Three repeats: a link whose other end says nothing for this long is dead without a word. */
    private static final long SILENCE_MILLIS = 1_600;

    /** Ten round trips between data centres; a home that takes longer is slow or gone. */
    private static final long TOKEN_MILLIS = 25;

    /** Proofs are renewed every second or two; one that is older was missed. */
    private static final long STORE_REACHED_MILLIS = 2_600;

    /**
     * Told in place of a proof's age by a VM that finds the shared map away. Guards against an outage for all in which
     * each VM takes the others for better off, since their last proofs are young: callers would be sent from one to the
     * next every 100 ms, and have used up their tries in the outage's first two seconds.
     */
    static final long LOST_MILLIS = Long.MAX_VALUE;

    /** On the wire: no token, or no wait after which there is one. */
    private static final long NO_TOKEN = -1;

    private final EventLoopGroup group;
    private final EventExecutor executor;
    private final GatewaySettings settings;
    private final EndpointTable endpoints;
    private final NodeClock clock;
    private final DecisionLog log;
    private final BiFunction<String, Long, TokenOffer> grantToken;
    private final Map<String, PeerLink> links = new HashMap<>();
    private final LongSupplier proofAgeMillis;
    /** When each peer last was in touch with the shared map, by its own word. */
    private final Map<String, Long> storeReachedMillis = new HashMap<>();

    private final Map<Long, Consumer<TokenOffer>> waiting = new HashMap<>();
    private LinkConnector connector;
    private long nextId;
    private Map<String, Integer> told = Map.of();
    private long toldMillis;

    /**
     * Makes links that wait for the shared secret.
     *
     * @param proofAgeMillis age of this VM's proof that its configuration is current, {@link #LOST_MILLIS} as soon as it
     *     finds the shared map away
     * @param grantToken takes a token of an account from this VM's part, for another VM: the wait until it may be used
     */
    PeerConnections(
            EventLoopGroup group,
            GatewaySettings settings,
            EndpointTable endpoints,
            NodeClock clock,
            DecisionLog log,
            BiFunction<String, Long, TokenOffer> grantToken,
            LongSupplier proofAgeMillis) {
        this.group = group;
        this.executor = group.next();
        this.settings = settings;
        this.endpoints = endpoints;
        this.clock = clock;
        this.log = log;
        this.grantToken = grantToken;
        this.proofAgeMillis = proofAgeMillis;
    }

    /** Opens the door once the secret that all gateways share is known. */
    void start(byte[] secret) {
        if (connector != null) {
            return;
        }
        LinkIdentity self =
                new LinkIdentity(VmId.of(settings.vm(), settings.incarnation()), VmRole.ENTRY, settings.dataCentre());
        LinkSettings linkSettings = new LinkSettings(self, secret, SILENCE_MILLIS);
        LinkServer.startLater(group, settings.links(), linkSettings, this);
        connector = LinkConnector.create(group, linkSettings, this);
        broadcastLoads();
    }

    /**
     * The other gateways. Of two, the one that started later connects, since it knows of the other first: it has links
     * before it takes its first request.
     */
    void setPeers(Map<String, LeaseRecord> others) {
        if (connector == null) {
            return;
        }
        Set<InetSocketAddress> addresses = new HashSet<>();
        others.forEach((vm, record) -> {
            boolean later = settings.incarnation() != record.incarnation()
                    ? settings.incarnation() > record.incarnation()
                    : settings.vm().compareTo(vm) > 0;
            if (later) {
                IpPort.parse(record.linkAddress()).ifPresent(addresses::add);
            }
        });
        connector.want(addresses);
    }

    /** Whether there is an open link to another gateway. */
    boolean isConnected(String vm) {
        PeerLink link = links.get(vm);
        return link != null && link.isOpen();
    }

    /** Asks another gateway for a token; one that does not answer has none. */
    void requestToken(String vm, String account, long maximumWaitMillis, Consumer<TokenOffer> listener) {
        if (!isConnected(vm)) {
            listener.accept(TokenOffer.NONE);
            return;
        }
        long id = nextId++;
        waiting.put(id, listener);
        links.get(vm).send(Message.tokenRequest(new TokenRequest(id, account, maximumWaitMillis)));
        executor.schedule(() -> answered(id, TokenOffer.NONE), TOKEN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void answered(long id, TokenOffer offer) {
        Consumer<TokenOffer> listener = waiting.remove(id);
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

    private void broadcastLoads() {
        long now = clock.now();
        Map<String, Integer> running = endpoints.running();
        List<PromptPlaced> placed = placed();
        if (!running.equals(told) || !placed.isEmpty() || now - toldMillis >= REPEAT_MILLIS) {
            told = running;
            toldMillis = now;
            EndpointLoads loads = new EndpointLoads(running, proofAgeMillis.getAsLong());
            loads.setFailing(endpoints.failing(now));
            loads.setPlaced(placed);
            loads.setUnread(endpoints.unread());
            Message message = Message.endpointLoads(loads);
            links.values().stream().filter(PeerLink::isWritable).forEach(link -> link.send(message));
        }
        long pace = LOADS_MILLIS * Math.max(1, links.size() / VMS_AT_FULL_PACE);
        executor.schedule(this::broadcastLoads, pace, TimeUnit.MILLISECONDS);
    }

    private List<PromptPlaced> placed() {
        return endpoints.takeNewLocations().stream()
                .map(place -> new PromptPlaced(
                        place.endpoint(), place.part().id(), place.part().tokens()))
                .toList();
    }

    private static List<PrefixLocation> places(List<PromptPlaced> placed) {
        return placed.stream()
                .filter(each -> each.getEndpoint() != null && each.getPart() != null)
                .map(each -> new PrefixLocation(each.getEndpoint(), new PrefixPart(each.getPart(), each.getTokens())))
                .toList();
    }

    @Override
    public void onOpen(PeerLink link) {
        links.put(link.remote().id().name(), link);
        log.line(log.event("link-open").put("peer", link.remote().id().toString()));
    }

    @Override
    public void onMessage(PeerLink link, Message message) {
        if (message.isSetTokenRequest()) {
            grantToken(link, message.getTokenRequest());
        } else if (message.isSetTokenAnswer()) {
            answered(message.getTokenAnswer().getId(), offer(message.getTokenAnswer()));
        } else if (message.isSetEndpointLoads() && message.getEndpointLoads().getRunning() != null) {
            onPeerLoads(link.remote().id().name(), message.getEndpointLoads());
        }
    }

    private void onPeerLoads(String vm, EndpointLoads loads) {
        endpoints.onPeerRunning(vm, loads.getRunning());
        if (loads.isSetFailing()) {
            endpoints.onPeerFailureRates(clock.now(), loads.getFailing());
        }
        if (loads.isSetUnread()) {
            endpoints.onPeerPrefillBacklog(vm, loads.getUnread());
        }
        if (loads.isSetPlaced()) {
            endpoints.onPeerPrefixes(places(loads.getPlaced()));
        }
        if (loads.getProofAgeMillis() < STORE_REACHED_MILLIS) {
            storeReachedMillis.put(vm, clock.now() - loads.getProofAgeMillis());
        } else {
            storeReachedMillis.remove(vm);
        }
    }

    /** Whether another gateway lately said that it is in touch with the shared map. */
    boolean anyPeerReachesStore() {
        return anyPeerReachedStoreSince(clock.now() - STORE_REACHED_MILLIS);
    }

    /** Whether another gateway was in touch with the shared map after a moment on this VM's clock, by its own word. */
    boolean anyPeerReachedStoreSince(long sinceMillis) {
        long recent = Math.max(sinceMillis, clock.now() - STORE_REACHED_MILLIS);
        return storeReachedMillis.values().stream().anyMatch(proven -> proven >= recent);
    }

    /** Whether such a gateway is in the same data centre as this one, whose callers' next try it may get. */
    boolean anyLocalPeerReachesStore() {
        long recent = clock.now() - STORE_REACHED_MILLIS;
        return links.entrySet().stream()
                .filter(entry -> entry.getValue().remote().dataCentre().equals(settings.dataCentre()))
                .anyMatch(entry -> storeReachedMillis.getOrDefault(entry.getKey(), Long.MIN_VALUE) >= recent);
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
    public void onClose(PeerLink link) {
        String vm = link.remote().id().name();
        if (links.remove(vm, link)) {
            endpoints.removePeer(vm);
            storeReachedMillis.remove(vm);
        }
        log.line(log.event("link-closed").put("peer", link.remote().id().toString()));
    }
}
