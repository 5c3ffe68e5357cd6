package org.quetzalshunt.server.entry;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntFunction;
import org.agrona.collections.Long2ObjectHashMap;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResponseStatus;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.ResponseSink;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.ForwardCancel;
import org.quetzalshunt.wire.generated.ForwardChunk;
import org.quetzalshunt.wire.generated.ForwardEnd;
import org.quetzalshunt.wire.generated.ForwardHead;
import org.quetzalshunt.wire.generated.ForwardRequest;
import org.quetzalshunt.wire.generated.Message;

/**
 * Routes requests to the owner of their shard: to this entry, or over a link to another entry.
 *
 * <p>Every request has an idempotency key, either the caller's or one derived from the request id. If a link breaks
 * before the response has begun, the request is therefore routed again to the current owner, which recognises by the
 * key whether it has already run.
 */
final class OwnerRouter {
    /** Limit on forwarding, for the case that two entries each consider the other one the owner. */
    private static final int MAXIMUM_HOPS = 4;

    /** Time for a takeover after a crash: the detection of the crash, the claim, and a margin for a slow log. */
    private static final long WAIT_FOR_OWNER_MILLIS = 10_000;

    /** The owner answers by the deadline itself; after this margin, no response is expected any more. */
    private static final long OWNER_GRACE_MILLIS = 3_000;

    private final EntryClock clock;
    private final IntFunction<Optional<String>> ownerOf;
    private final String self;
    private final LocalHandler localHandler;
    private final Map<String, PeerLink> links = new HashMap<>();
    private final Long2ObjectHashMap<ForwardedRequest> forwarded = new Long2ObjectHashMap<>();
    private final List<PendingRoute> waiting = new ArrayList<>();
    private long nextExchange = 1;

    /** Handles a request whose shard is owned by this entry. */
    @FunctionalInterface
    interface LocalHandler {
        void handle(int shard, OwnerRequest request, ResponseSink sink);
    }

    OwnerRouter(EntryClock clock, String self, IntFunction<Optional<String>> ownerOf, LocalHandler localHandler) {
        this.clock = clock;
        this.self = self;
        this.ownerOf = ownerOf;
        this.localHandler = localHandler;
    }

    /** Routes a request to the owner of its shard; if there is none at present, it waits for one. */
    void route(int shard, OwnerRequest request, ResponseSink sink) {
        PendingRoute pending = new PendingRoute(shard, request, sink, clock.now());
        if (!tryRoute(pending)) {
            waiting.add(pending);
        }
    }

    private boolean tryRoute(PendingRoute pending) {
        if (pending.sink.finished()) {
            return true;
        }
        Optional<String> owner = ownerOf.apply(pending.shard);
        if (owner.isEmpty()) {
            return false;
        }
        if (owner.get().equals(self)) {
            localHandler.handle(pending.shard, pending.request, pending.sink);
            return true;
        }
        PeerLink link = links.get(owner.get());
        if (link == null || !link.isOpen()) {
            return false;
        }
        if (pending.request.hops() >= MAXIMUM_HOPS) {
            refuse(
                    pending,
                    Refusal.notRunRetryAfter(
                            ResultCode.OWNER_UNREACHABLE, "the request was forwarded over too many hops", 1_000));
            return true;
        }
        forward(link, pending);
        return true;
    }

    private void forward(PeerLink link, PendingRoute pending) {
        long exchange = nextExchange++;
        OwnerRequest request = pending.request.withHopAdded();
        forwarded.put(exchange, new ForwardedRequest(link, pending));
        link.send(Message.forwardRequest(new ForwardRequest(
                exchange,
                request.requestId(),
                request.clientAccount(),
                request.method(),
                request.path(),
                request.headers(),
                ByteBuffer.wrap(request.body()),
                Math.max(1, request.deadlineMillis() - clock.now()),
                request.hops())));
        pending.sink.onClose(() -> cancel(exchange));
    }

    private void cancel(long exchange) {
        ForwardedRequest cancelled = forwarded.remove(exchange);
        if (cancelled != null) {
            cancelled.link.send(Message.forwardCancel(new ForwardCancel(exchange)));
        }
    }

    void linkOpened(PeerLink link) {
        links.put(link.remote().id().name(), link);
        tick();
    }

    void linkClosed(PeerLink link) {
        links.remove(link.remote().id().name(), link);
        List<Long> broken = new ArrayList<>();
        forwarded.forEachLong((exchange, state) -> {
            if (state.link == link) {
                broken.add(exchange);
            }
        });
        broken.forEach(exchange -> rerouteOrAbort(forwarded.remove(exchange.longValue())));
    }

    private void rerouteOrAbort(ForwardedRequest state) {
        PendingRoute pending = state.pending;
        if (!pending.sink.started()) {
            pending.waitingSinceMillis = clock.now();
            waiting.add(pending);
            return;
        }
        CallerResponses.sendError(
                pending.sink,
                Refusal.withExecution(
                        ResultCode.OUTCOME_UNKNOWN,
                        Execution.UNKNOWN,
                        "the link to the owner of the shard broke during the response"),
                pending.request.requestId());
    }

    void onHead(ForwardHead head) {
        ForwardedRequest state = forwarded.get(head.getExchange());
        if (state == null) {
            return;
        }
        if (!ResponseStatus.isFinal(head.getStatus())) {
            forwarded.remove(head.getExchange());
            CallerResponses.sendError(
                    state.pending.sink,
                    Refusal.withExecution(
                            ResultCode.OUTCOME_UNKNOWN,
                            Execution.UNKNOWN,
                            "the owner of the shard sent " + head.getStatus() + ", which is no status of a response"),
                    state.pending.request.requestId());
            return;
        }
        state.pending.sink.begin(head.getStatus(), head.getHeaders());
    }

    void onChunk(ForwardChunk chunk) {
        ForwardedRequest state = forwarded.get(chunk.getExchange());
        if (state == null) {
            return;
        }
        if (chunk.getSequence() != state.nextSequence) {
            forwarded.remove(chunk.getExchange());
            state.pending.sink.abort();
            return;
        }
        state.nextSequence++;
        state.pending.sink.write(chunk.getData());
    }

    void onEnd(ForwardEnd end) {
        ForwardedRequest state = forwarded.remove(end.getExchange());
        if (state == null) {
            return;
        }
        if (end.isWhole() && end.getChunks() == state.nextSequence) {
            state.pending.sink.end();
            return;
        }
        state.pending.sink.abort();
    }

    /**
     * Answers forwarded requests whose deadline has passed. Guards against an owner that accepted a request and lost
     * it, which would leave the caller waiting without limit on an open connection.
     */
    private void expireForwarded() {
        List<Long> overdue = new ArrayList<>();
        forwarded.forEachLong((exchange, state) -> {
            if (clock.now() > state.pending.request.deadlineMillis() + OWNER_GRACE_MILLIS) {
                overdue.add(exchange);
            }
        });
        for (Long exchange : overdue) {
            ForwardedRequest state = forwarded.remove(exchange.longValue());
            CallerResponses.sendError(
                    state.pending.sink,
                    Refusal.withExecution(
                            ResultCode.OUTCOME_UNKNOWN,
                            Execution.UNKNOWN,
                            "the owner of the shard did not answer in time"),
                    state.pending.request.requestId());
        }
    }

    /**
     * Expires forwarded requests, retries the requests that wait for an owner, and refuses those that have waited too
     * long.
     */
    void tick() {
        expireForwarded();
        if (waiting.isEmpty()) {
            return;
        }
        List<PendingRoute> retries = new ArrayList<>(waiting);
        waiting.clear();
        for (PendingRoute pending : retries) {
            if (tryRoute(pending)) {
                continue;
            }
            boolean overdue = clock.now() - pending.waitingSinceMillis > WAIT_FOR_OWNER_MILLIS
                    || clock.now() >= pending.request.deadlineMillis();
            if (overdue) {
                refuse(pending, unreachable(pending));
            } else {
                waiting.add(pending);
            }
        }
    }

    /** A request that was forwarded before may have run, so it must not be reported as not run. */
    private static Refusal unreachable(PendingRoute pending) {
        if (pending.wasForwarded) {
            return Refusal.withExecution(
                    ResultCode.OUTCOME_UNKNOWN,
                    Execution.UNKNOWN,
                    "the link to the owner of the shard broke and no owner was found in time");
        }
        return Refusal.notRunRetryAfter(
                ResultCode.OWNER_UNREACHABLE, "no entry took ownership of the shard in time", 1_000);
    }

    private static void refuse(PendingRoute pending, Refusal refusal) {
        CallerResponses.sendError(pending.sink, refusal, pending.request.requestId());
    }

    int waitingRequests() {
        return waiting.size();
    }

    int forwardedRequests() {
        return forwarded.size();
    }

    private static final class PendingRoute {
        private final int shard;
        private final OwnerRequest request;
        private final ResponseSink sink;
        private long waitingSinceMillis;
        private boolean wasForwarded;

        PendingRoute(int shard, OwnerRequest request, ResponseSink sink, long nowMillis) {
            this.shard = shard;
            this.request = request;
            this.sink = sink;
            this.waitingSinceMillis = nowMillis;
        }
    }

    private static final class ForwardedRequest {
        private final PeerLink link;
        private final PendingRoute pending;
        private int nextSequence;

        ForwardedRequest(PeerLink link, PendingRoute pending) {
            this.link = link;
            this.pending = pending;
            pending.wasForwarded = true;
        }
    }
}
