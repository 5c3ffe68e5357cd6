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
 * Brings requests to the owner of their shard: here, or over a link to another entry.
 *
 * <p>Every request carries an idempotency key, the caller's or its own id. So when a link breaks before an answer
 * began, the request is brought to whoever owns the shard then, who finds out by the key whether it ran.
 */
final class OwnerRouter {
    /** Entries that pass a request on; more would be two entries that take each other for the owner. */
    private static final int MAXIMUM_HOPS = 4;

    /** Time for a takeover after a crash: the lease, a claim, and room for a slow log. */
    private static final long WAIT_FOR_OWNER_MILLIS = 10_000;

    /** The owner answers at the deadline itself; this much later its answer is not coming. */
    private static final long OWNER_GRACE_MILLIS = 3_000;

    private final EntryClock clock;
    private final IntFunction<Optional<String>> ownerOf;
    private final String self;
    private final LocalOwner local;
    private final Map<String, PeerLink> links = new HashMap<>();
    private final Long2ObjectHashMap<Forwarded> forwarded = new Long2ObjectHashMap<>();
    private final List<Routed> waiting = new ArrayList<>();
    private long nextExchange = 1;

    /** Handles a request at the owner. */
    @FunctionalInterface
    interface LocalOwner {
        void handle(int shard, OwnerRequest request, ResponseSink sink);
    }

    OwnerRouter(EntryClock clock, String self, IntFunction<Optional<String>> ownerOf, LocalOwner local) {
        this.clock = clock;
        this.self = self;
        this.ownerOf = ownerOf;
        this.local = local;
    }

    /** Brings a request to its owner, waiting for one when there is none just now. */
    void route(int shard, OwnerRequest request, ResponseSink sink) {
        Routed routed = new Routed(shard, request, sink, clock.now());
        if (!tryRoute(routed)) {
            waiting.add(routed);
        }
    }

    private boolean tryRoute(Routed routed) {
        if (routed.sink.finished()) {
            return true;
        }
        Optional<String> owner = ownerOf.apply(routed.shard);
        if (owner.isEmpty()) {
            return false;
        }
        if (owner.get().equals(self)) {
            local.handle(routed.shard, routed.request, routed.sink);
            return true;
        }
        PeerLink link = links.get(owner.get());
        if (link == null || !link.isOpen()) {
            return false;
        }
        if (routed.request.hops() >= MAXIMUM_HOPS) {
            refuse(routed, Refusal.notRunRetryAfter(ResultCode.OWNER_UNREACHABLE, "too many hops", 1_000));
            return true;
        }
        forward(link, routed);
        return true;
    }

    private void forward(PeerLink link, Routed routed) {
        long exchange = nextExchange++;
        OwnerRequest request = routed.request.passedOn();
        forwarded.put(exchange, new Forwarded(link, routed));
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
        routed.sink.onClose(() -> cancel(exchange));
    }

    private void cancel(long exchange) {
        Forwarded gone = forwarded.remove(exchange);
        if (gone != null) {
            gone.link.send(Message.forwardCancel(new ForwardCancel(exchange)));
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

    private void rerouteOrAbort(Forwarded state) {
        Routed routed = state.routed;
        if (!routed.sink.started()) {
            routed.sinceMillis = clock.now();
            waiting.add(routed);
            return;
        }
        Answers.refuse(
                routed.sink,
                Refusal.after(ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, "the owner went away in mid-answer"),
                routed.request.requestId());
    }

    void onHead(ForwardHead head) {
        Forwarded state = forwarded.get(head.getExchange());
        if (state != null) {
            state.routed.sink.begin(head.getStatus(), head.getHeaders());
        }
    }

    void onChunk(ForwardChunk chunk) {
        Forwarded state = forwarded.get(chunk.getExchange());
        if (state == null) {
            return;
        }
        if (chunk.getSequence() != state.nextSequence) {
            forwarded.remove(chunk.getExchange());
            state.routed.sink.abort();
            return;
        }
        state.nextSequence++;
        state.routed.sink.write(chunk.getData());
    }

    void onEnd(ForwardEnd end) {
        Forwarded state = forwarded.remove(end.getExchange());
        if (state == null) {
            return;
        }
        if (end.isWhole() && end.getChunks() == state.nextSequence) {
            state.routed.sink.end();
            return;
        }
        state.routed.sink.abort();
    }

    /**
     * Answers what was passed on and outlived its deadline. Guards against an owner that took a request and lost it: its
     * caller would wait for ever, with an open connection and no answer.
     */
    private void expireForwarded() {
        List<Long> late = new ArrayList<>();
        forwarded.forEachLong((exchange, state) -> {
            if (clock.now() > state.routed.request.deadlineMillis() + OWNER_GRACE_MILLIS) {
                late.add(exchange);
            }
        });
        for (Long exchange : late) {
            Forwarded state = forwarded.remove(exchange.longValue());
            Answers.refuse(
                    state.routed.sink,
                    Refusal.after(ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, "the owner did not answer in time"),
                    state.routed.request.requestId());
        }
    }

    /** Tries again what waits for an owner; refuses what waited too long. */
    void tick() {
        expireForwarded();
        if (waiting.isEmpty()) {
            return;
        }
        List<Routed> again = new ArrayList<>(waiting);
        waiting.clear();
        for (Routed routed : again) {
            if (tryRoute(routed)) {
                continue;
            }
            boolean late = clock.now() - routed.sinceMillis > WAIT_FOR_OWNER_MILLIS
                    || clock.now() >= routed.request.deadlineMillis();
            if (late) {
                refuse(routed, unreachable(routed));
            } else {
                waiting.add(routed);
            }
        }
    }

    /** A request that was passed on before may have run, so "not run" would not be true of it. */
    private static Refusal unreachable(Routed routed) {
        if (routed.passedOnBefore) {
            return Refusal.after(ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, "the owner went away");
        }
        return Refusal.notRunRetryAfter(ResultCode.OWNER_UNREACHABLE, "no owner took the shard in time", 1_000);
    }

    private static void refuse(Routed routed, Refusal refusal) {
        Answers.refuse(routed.sink, refusal, routed.request.requestId());
    }

    int waitingRequests() {
        return waiting.size();
    }

    int forwardedRequests() {
        return forwarded.size();
    }

    private static final class Routed {
        private final int shard;
        private final OwnerRequest request;
        private final ResponseSink sink;
        private long sinceMillis;
        private boolean passedOnBefore;

        Routed(int shard, OwnerRequest request, ResponseSink sink, long nowMillis) {
            this.shard = shard;
            this.request = request;
            this.sink = sink;
            this.sinceMillis = nowMillis;
        }
    }

    private static final class Forwarded {
        private final PeerLink link;
        private final Routed routed;
        private int nextSequence;

        Forwarded(PeerLink link, Routed routed) {
            this.link = link;
            this.routed = routed;
            routed.passedOnBefore = true;
        }
    }
}
