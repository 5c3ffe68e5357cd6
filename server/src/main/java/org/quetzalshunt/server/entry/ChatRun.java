package org.quetzalshunt.server.entry;

import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.core.decision.Dispatch;
import org.quetzalshunt.core.decision.Finish;
import org.quetzalshunt.core.decision.WorkItem;
import org.quetzalshunt.core.program.Shard;
import org.quetzalshunt.core.program.StoredAnswer;
import org.quetzalshunt.core.program.TurnResult;
import org.quetzalshunt.core.program.TurnStart;
import org.quetzalshunt.core.program.TurnUsage;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.ResponseSink;
import org.quetzalshunt.wire.generated.AttemptStart;

/** One turn under way at the owner: queued, tried at endpoints, recorded, answered. */
final class ChatRun {
    /** With two failed endpoints the request itself is suspect, and a third try is the last that anyone pays for. */
    private static final int MAXIMUM_ATTEMPTS = 3;

    private final OwnerContext owner;
    private final OwnerRequest request;
    private final ChatBody body;
    private final ResponseSink sink;
    private final Shard shard;
    private final long arrivedMillis;
    private Optional<TurnStart> start = Optional.empty();
    private Optional<WorkItem> waiting = Optional.empty();
    private Optional<Long> attempt = Optional.empty();
    private ChatAnswer answer;
    private int attempts;
    private String avoidEndpoint = "";
    private boolean mayHaveRun;
    private boolean done;

    ChatRun(OwnerContext owner, OwnerRequest request, ChatBody body, ResponseSink sink, Shard shard) {
        this.owner = owner;
        this.request = request;
        this.body = body;
        this.sink = sink;
        this.shard = shard;
        this.arrivedMillis = owner.clock().now();
        this.answer = new ChatAnswer(request.requestId(), body.service(), arrivedMillis);
    }

    /** The shard says that the turn may run. */
    void start(TurnStart turn) {
        start = Optional.of(turn);
        offer();
    }

    private void offer() {
        TurnStart turn = start.orElseThrow();
        Optional<Refusal> refusal = owner.board()
                .offer(
                        (id, board) -> new ChatWork(item(id, turn)),
                        turn.request().limits().queuePerAccount());
        refusal.ifPresent(this::fail);
        owner.board().tick();
    }

    private WorkItem item(long id, TurnStart turn) {
        WorkItem item = WorkItems.ofTurn(owner, id, turn, arrivedMillis, attempts, avoidEndpoint);
        waiting = Optional.of(item);
        return item;
    }

    /** The caller went away. A request with its key goes on, since the caller may ask for the result. */
    void callerGone() {
        if (done || request.hasCallersKey()) {
            return;
        }
        fail(Refusal.after(ResultCode.CANCELLED, mayHaveRun ? Execution.RAN : Execution.NOT_RUN, "the caller left"));
    }

    /** Ends the run with a refusal; gives back whatever it holds. */
    void fail(Refusal refusal) {
        if (done) {
            return;
        }
        done = true;
        waiting.ifPresent(item -> owner.board().withdraw(item));
        attempt.ifPresent(id -> owner.attempts().cancel(id));
        start.ifPresent(this::closeTurn);
        owner.runs().remove(request.requestId());
        owner.refuse(request, sink, refusal);
        owner.waiters().refused(request.requestId(), refusal);
    }

    boolean isOf(int shardNumber) {
        return shard.number() == shardNumber;
    }

    /** The shard is no longer this entry's: the turn can't become part of the program from here. */
    void ownershipLost() {
        if (done) {
            return;
        }
        fail(ownershipRefusal());
    }

    /** A turn that was not recorded is no part of its program, so before any of it was passed on it can run elsewhere. */
    private Refusal ownershipRefusal() {
        return sink.started()
                ? Refusal.after(ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, "the shard passed on; ask again")
                : Refusal.notRunRetryAfter(ResultCode.NOT_OWNER, "the shard passed on; ask again", 1_000);
    }

    private void closeTurn(TurnStart turn) {
        if (attempt.isEmpty()) {
            shard.failTurn(owner.clock().now(), turn);
            return;
        }
        shard.chargeLostAttempt(turn, covered -> shard.failTurn(owner.clock().now(), turn));
    }

    private void dispatch(Dispatch dispatch) {
        TurnStart turn = start.orElseThrow();
        attempts++;
        answer = new ChatAnswer(request.requestId(), body.service(), arrivedMillis);
        AttemptStart order = AttemptOrders.ofTurn(owner, shard, turn, body, request, dispatch);
        ChatAttempt listener = new ChatAttempt(dispatch, owner.clock().now());
        owner.programMoved(turn.request().program(), dispatch.endpoint());
        attempt = owner.attempts().start(dispatch.endpoint(), order, listener);
        if (attempt.isEmpty()) {
            listener.onOutcome(AttemptOutcome.failed(ResultCode.ENDPOINT_FAILED, Execution.NOT_RUN));
        }
    }

    private void chunk(byte[] data) {
        Optional<byte[]> event = answer.add(data);
        if (event.isEmpty() || !body.stream()) {
            return;
        }
        beginStream();
        sink.write(event.get());
    }

    private void beginStream() {
        if (sink.started()) {
            return;
        }
        Map<String, String> headers = Answers.headers(request.requestId(), Answers.EVENT_STREAM);
        headers.put("cache-control", "no-cache");
        headers.put(CallerHeaders.PROGRAM, start.orElseThrow().request().program());
        sink.begin(200, headers);
    }

    private void whole(AttemptOutcome outcome) {
        TurnStart turn = start.orElseThrow();
        TurnUsage usage =
                outcome.usage().orElse(new TurnUsage(turn.contextTokens() + turn.newBytes(), 0, answer.deltas()));
        StoredAnswer stored = new StoredAnswer(200, "application/json", answer.body(usage));
        TurnResult result = new TurnResult(ChatBody.canonical(answer.message()), stored, usage);
        done = true;
        shard.endTurn(owner.clock().now(), turn, result, kept -> recorded(kept, turn, stored, usage));
    }

    private void recorded(boolean kept, TurnStart turn, StoredAnswer stored, TurnUsage usage) {
        owner.runs().remove(request.requestId());
        if (!kept) {
            Refusal refusal = ownershipRefusal();
            owner.refuse(request, sink, refusal);
            owner.waiters().refused(request.requestId(), refusal);
            return;
        }
        owner.measures().turnEnded(turn, usage, owner.clock().now() - arrivedMillis);
        if (body.stream()) {
            beginStream();
            answer.closing(usage, body.includeUsage()).forEach(sink::write);
            sink.end();
        } else {
            Map<String, String> headers = Answers.headers(request.requestId(), stored.contentType());
            headers.put(CallerHeaders.PROGRAM, turn.request().program());
            headers.put(CallerHeaders.TURN, Integer.toString(turn.turn()));
            sink.respond(stored.status(), headers, stored.body());
        }
        owner.waiters().answered(request.requestId(), stored);
    }

    /**
     * Tries elsewhere while nothing was passed on. A turn may run twice at engines, since only the recorded one is part
     * of the program; what a lost attempt may have cost is charged before the next one starts.
     */
    private void attemptFailed(String endpoint, AttemptOutcome outcome) {
        attempt = Optional.empty();
        avoidEndpoint = endpoint;
        boolean again = retryHelps(outcome.code())
                && attempts < MAXIMUM_ATTEMPTS
                && !sink.started()
                && owner.board().scheduler().mayRetry(owner.clock().now(), body.service());
        if (outcome.execution() == Execution.NOT_RUN) {
            retryOrFail(again, outcome);
            return;
        }
        mayHaveRun = true;
        shard.chargeLostAttempt(start.orElseThrow(), covered -> retryOrFail(again && covered, outcome));
    }

    private void retryOrFail(boolean again, AttemptOutcome outcome) {
        if (done) {
            return;
        }
        if (again) {
            offer();
            return;
        }
        Execution execution = mayHaveRun ? Execution.RAN : Execution.NOT_RUN;
        fail(Refusal.after(outcome.code(), execution, "after " + attempts + " attempts"));
    }

    private static boolean retryHelps(ResultCode code) {
        return code != ResultCode.DEADLINE_PASSED_RUNNING && code != ResultCode.STALE_EPOCH;
    }

    private final class ChatWork implements Work {
        private final WorkItem item;

        ChatWork(WorkItem item) {
            this.item = item;
        }

        @Override
        public WorkItem item() {
            return item;
        }

        @Override
        public void dispatched(Dispatch dispatch) {
            waiting = Optional.empty();
            dispatch(dispatch);
        }

        private void dispatch(Dispatch dispatch) {
            ChatRun.this.dispatch(dispatch);
        }

        @Override
        public void expired(Refusal refusal) {
            waiting = Optional.empty();
            fail(mayHaveRun ? Refusal.after(refusal.code(), Execution.RAN, refusal.detail()) : refusal);
        }
    }

    private final class ChatAttempt implements AttemptListener {
        private final Dispatch dispatch;
        private final long startedMillis;
        private long firstTokenMillis;

        ChatAttempt(Dispatch dispatch, long startedMillis) {
            this.dispatch = dispatch;
            this.startedMillis = startedMillis;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {}

        @Override
        public void onChunk(byte[] data) {
            if (done) {
                return;
            }
            if (firstTokenMillis == 0) {
                firstTokenMillis = owner.clock().now();
                owner.measures().firstToken(firstTokenMillis - arrivedMillis);
            }
            chunk(data);
            owner.board().progressed(dispatch.item(), answer.deltas());
        }

        @Override
        public void onOutcome(AttemptOutcome outcome) {
            owner.board().finished(dispatch.item(), finish(outcome));
            if (done) {
                return;
            }
            if (outcome.isWhole()) {
                whole(outcome);
                return;
            }
            attemptFailed(dispatch.endpoint(), outcome);
        }

        private Finish finish(AttemptOutcome outcome) {
            long duration = owner.clock().now() - startedMillis;
            if (!outcome.isWhole()) {
                return Finish.endpointFailed(answer.deltas(), duration);
            }
            TurnUsage usage = outcome.usage().orElse(new TurnUsage(0, 0, answer.deltas()));
            return Finish.ok(
                    usage.promptTokens(),
                    usage.cachedTokens(),
                    usage.completionTokens(),
                    Math.max(0, firstTokenMillis - startedMillis),
                    duration);
        }
    }
}
