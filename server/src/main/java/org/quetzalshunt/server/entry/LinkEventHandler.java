package org.quetzalshunt.server.entry;

import java.util.HashMap;
import java.util.Map;
import org.quetzalshunt.core.decision.EndpointState;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.EndpointReport;
import org.quetzalshunt.wire.generated.ForwardRequest;
import org.quetzalshunt.wire.generated.Message;
import org.quetzalshunt.wire.message.LimitMessageCodec;

/** Dispatches the events on an entry's links, from sidecars and other entries, to the components that handle them. */
final class LinkEventHandler {
    private final Peers peers;
    private final AttemptTracker attempts;
    private final WorkDispatcher workDispatcher;
    private final OwnerRouter router;
    private final ShardOfRequest shardOfRequest;
    private final EntryClock clock;
    private final FleetRateLimiter rateLimiter;
    private final Map<PeerLink, Map<Long, ForwardSink>> sinks = new HashMap<>();

    /** Determines the shard of a request that another entry forwarded. */
    @FunctionalInterface
    interface ShardOfRequest {
        int shardOf(OwnerRequest request);
    }

    LinkEventHandler(
            Peers peers,
            AttemptTracker attempts,
            WorkDispatcher workDispatcher,
            OwnerRouter router,
            ShardOfRequest shardOfRequest,
            EntryClock clock,
            FleetRateLimiter rateLimiter) {
        this.rateLimiter = rateLimiter;
        this.peers = peers;
        this.attempts = attempts;
        this.workDispatcher = workDispatcher;
        this.router = router;
        this.shardOfRequest = shardOfRequest;
        this.clock = clock;
    }

    void handle(LinkEventAdapter.Event event) {
        PeerLink link = event.link();
        switch (event.kind()) {
            case OPENED -> onOpened(link);
            case CLOSED -> onClosed(link);
            case MESSAGE -> event.message().ifPresent(message -> onMessage(link, message));
        }
    }

    private void onOpened(PeerLink link) {
        peers.linkOpened(link);
        if (link.remote().role() == VmRole.SIDECAR) {
            attempts.linkOpened(link);
        } else {
            router.linkOpened(link);
        }
    }

    private void onClosed(PeerLink link) {
        peers.linkClosed(link);
        if (link.remote().role() == VmRole.SIDECAR) {
            attempts.linkClosed(link);
            if (attempts.link(link.remote().id().name()).isEmpty()) {
                workDispatcher.scheduler().removeEndpoint(link.remote().id().name());
            }
            return;
        }
        router.linkClosed(link);
        Map<Long, ForwardSink> sinksOfLink = sinks.remove(link);
        if (sinksOfLink != null) {
            sinksOfLink.values().stream().toList().forEach(ForwardSink::onPeerClosed);
        }
    }

    private void onMessage(PeerLink link, Message message) {
        if (link.remote().role() == VmRole.SIDECAR) {
            fromSidecar(link, message);
        } else {
            fromEntry(link, message);
        }
    }

    private void fromSidecar(PeerLink link, Message message) {
        switch (message.getSetField()) {
            case ATTEMPT_HEAD -> attempts.onHead(message.getAttemptHead());
            case ATTEMPT_CHUNK -> attempts.onChunk(message.getAttemptChunk());
            case ATTEMPT_END -> attempts.onEnd(message.getAttemptEnd());
            case ENDPOINT_REPORT -> onEndpointReport(link, message.getEndpointReport());
            default -> {}
        }
    }

    private void onEndpointReport(PeerLink link, EndpointReport report) {
        workDispatcher.endpointReported(new EndpointState(
                link.remote().id().name(),
                report.getServiceName(),
                link.remote().dataCentre(),
                report.getSlots(),
                report.getRunning(),
                report.getWaiting(),
                report.getTokensPerSecond(),
                clock.now(),
                report.isLeaving(),
                report.isHealthy()));
    }

    private void fromEntry(PeerLink link, Message message) {
        switch (message.getSetField()) {
            case HEARTBEAT -> peers.onHeartbeat(link, message.getHeartbeat());
            case FORWARD_REQUEST -> onForwardRequest(link, message.getForwardRequest());
            case FORWARD_CANCEL ->
                onForwardCancel(link, message.getForwardCancel().getExchange());
            case FORWARD_HEAD -> router.onHead(message.getForwardHead());
            case FORWARD_CHUNK -> router.onChunk(message.getForwardChunk());
            case FORWARD_END -> router.onEnd(message.getForwardEnd());
            default -> LimitMessageCodec.read(message).ifPresent(limit -> rateLimiter.onMessage(link, limit));
        }
    }

    private void onForwardRequest(PeerLink link, ForwardRequest forward) {
        long exchange = forward.getExchange();
        Map<Long, ForwardSink> sinksOfLink = sinks.computeIfAbsent(link, ignored -> new HashMap<>());
        ForwardSink sink = new ForwardSink(link, exchange, () -> sinksOfLink.remove(exchange));
        sinksOfLink.put(exchange, sink);
        OwnerRequest request = new OwnerRequest(
                forward.getRequestId(),
                forward.getClientAccount(),
                forward.getMethod(),
                forward.getPath(),
                forward.getHeaders(),
                forward.getBody(),
                clock.now() + forward.getRemainingMillis(),
                forward.getHops());
        router.route(shardOfRequest.shardOf(request), request, sink);
    }

    private void onForwardCancel(PeerLink link, long exchange) {
        Map<Long, ForwardSink> sinksOfLink = sinks.get(link);
        ForwardSink sink = sinksOfLink == null ? null : sinksOfLink.get(exchange);
        if (sink != null) {
            sink.onPeerClosed();
        }
    }
}
