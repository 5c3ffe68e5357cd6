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

/** What an entry does with each event on its links. */
final class EntryLinks {
    private final Peers peers;
    private final AttemptBoard attempts;
    private final WorkBoard board;
    private final OwnerRouter router;
    private final ShardOfRequest shardOf;
    private final EntryClock clock;
    private final LimitHost limits;
    private final Map<PeerLink, Map<Long, ForwardSink>> sinks = new HashMap<>();

    /** Works out the shard of a request that another entry passed on. */
    @FunctionalInterface
    interface ShardOfRequest {
        int shardOf(OwnerRequest request);
    }

    EntryLinks(
            Peers peers,
            AttemptBoard attempts,
            WorkBoard board,
            OwnerRouter router,
            ShardOfRequest shardOf,
            EntryClock clock,
            LimitHost limits) {
        this.limits = limits;
        this.peers = peers;
        this.attempts = attempts;
        this.board = board;
        this.router = router;
        this.shardOf = shardOf;
        this.clock = clock;
    }

    void handle(LinkDispatcher.Event event) {
        PeerLink link = event.link();
        switch (event.kind()) {
            case OPENED -> opened(link);
            case CLOSED -> closed(link);
            case MESSAGE -> event.message().ifPresent(message -> message(link, message));
        }
    }

    private void opened(PeerLink link) {
        peers.linkOpened(link);
        if (link.remote().role() == VmRole.SIDECAR) {
            attempts.linkOpened(link);
        } else {
            router.linkOpened(link);
        }
    }

    private void closed(PeerLink link) {
        peers.linkClosed(link);
        if (link.remote().role() == VmRole.SIDECAR) {
            attempts.linkClosed(link);
            if (attempts.link(link.remote().id().name()).isEmpty()) {
                board.scheduler().endpointRemoved(link.remote().id().name());
            }
            return;
        }
        router.linkClosed(link);
        Map<Long, ForwardSink> broken = sinks.remove(link);
        if (broken != null) {
            broken.values().stream().toList().forEach(ForwardSink::closed);
        }
    }

    private void message(PeerLink link, Message message) {
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
            case ENDPOINT_REPORT -> report(link, message.getEndpointReport());
            default -> {}
        }
    }

    private void report(PeerLink link, EndpointReport report) {
        board.endpointReported(new EndpointState(
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
            case FORWARD_REQUEST -> forwarded(link, message.getForwardRequest());
            case FORWARD_CANCEL -> cancelled(link, message.getForwardCancel().getExchange());
            case FORWARD_HEAD -> router.onHead(message.getForwardHead());
            case FORWARD_CHUNK -> router.onChunk(message.getForwardChunk());
            case FORWARD_END -> router.onEnd(message.getForwardEnd());
            default -> LimitMessageCodec.read(message).ifPresent(limit -> limits.onMessage(link, limit));
        }
    }

    private void forwarded(PeerLink link, ForwardRequest forward) {
        long exchange = forward.getExchange();
        Map<Long, ForwardSink> ofLink = sinks.computeIfAbsent(link, ignored -> new HashMap<>());
        ForwardSink sink = new ForwardSink(link, exchange, () -> ofLink.remove(exchange));
        ofLink.put(exchange, sink);
        OwnerRequest request = new OwnerRequest(
                forward.getRequestId(),
                forward.getClientAccount(),
                forward.getMethod(),
                forward.getPath(),
                forward.getHeaders(),
                forward.getBody(),
                clock.now() + forward.getRemainingMillis(),
                forward.getHops());
        router.route(shardOf.shardOf(request), request, sink);
    }

    private void cancelled(PeerLink link, long exchange) {
        Map<Long, ForwardSink> ofLink = sinks.get(link);
        ForwardSink sink = ofLink == null ? null : ofLink.get(exchange);
        if (sink != null) {
            sink.closed();
        }
    }
}
