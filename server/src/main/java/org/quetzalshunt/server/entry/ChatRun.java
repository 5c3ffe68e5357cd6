package org.quetzalshunt.server.entry;

import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.core.decision.Dispatch;
import org.quetzalshunt.core.decision.FinishedAttempt;
import org.quetzalshunt.core.decision.WorkItem;
import org.quetzalshunt.core.program.Shard;
import org.quetzalshunt.core.program.StoredAnswer;
import org.quetzalshunt.core.program.TokenUsage;
import org.quetzalshunt.core.program.TurnResult;
import org.quetzalshunt.core.program.TurnStart;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.ResponseSink;
import org.quetzalshunt.wire.generated.AttemptStart;

/**
 * One turn in progress at the owner of its shard: queues it, attempts it at endpoints, records and returns the result.
 */
final class ChatRun {
    /** After two failures the request itself is the likely cause, so a third attempt is the last, to bound the cost. */
    private static final int MAXIMUM_ATTEMPTS = 3;

    private final OwnerContext owner;
    private final OwnerRequest request;
    private final ChatBody body;
    private final ResponseSink sink;
    private final Shard shard;
    private final long arrivedMillis;
    private Optional<TurnStart> turnStart = Optional.empty();
    private Optional<WorkItem> queuedItem = Optional.empty();
    private Optional<Long> attemptId = Optional.empty();
    private ChatCompletionAssembler completion;
    private int attemptCount;
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
        this.completion = new ChatCompletionAssembler(request.requestId(), body.service(), arrivedMillis);
    }

    /** Starts the turn; called by the shard when the turn may run. */
    void start(TurnStart turn) {
        turnStart = Optional.of(turn);
        enqueue();
    }

    private void enqueue() {
        TurnStart turn = turnStart.orElseThrow();
        Optional<Refusal> refusal = owner.workDispatcher()
                .offer(
                        (id, dispatcher) -> new QueuedTurn(createItem(id, turn)),
                        turn.request().limits().queuePerAccount());
        refusal.ifPresent(this::fail);
        owner.workDispatcher().tick();
    }

    private WorkItem createItem(long id, TurnStart turn) {
        WorkItem item = WorkItemFactory.ofTurn(owner, id, turn, arrivedMillis, attemptCount, avoidEndpoint);
        queuedItem = Optional.of(item);
        return item;
    }

    /** Cancels the turn, unless the caller sent an idempotency key, with which it may request the result later. */
    void onCallerDisconnected() {
        if (done || request.hasCallerIdempotencyKey()) {
            return;
        }
        fail(Refusal.withExecution(
                ResultCode.CANCELLED,
                mayHaveRun ? Execution.RAN : Execution.NOT_RUN,
                "the caller closed the connection"));
    }

    /** Ends the turn with an error and releases its queue slot, its attempt and its reservation. */
    void fail(Refusal refusal) {
        if (done) {
            return;
        }
        done = true;
        queuedItem.ifPresent(item -> owner.workDispatcher().withdraw(item));
        attemptId.ifPresent(id -> owner.attempts().cancel(id));
        turnStart.ifPresent(this::closeTurn);
        owner.chatRuns().remove(request.requestId());
        owner.refuse(request, sink, refusal);
        owner.duplicateRequests().onRefusal(request.requestId(), refusal);
    }

    boolean belongsTo(int shardNumber) {
        return shard.number() == shardNumber;
    }

    /** Ends the turn because this entry no longer owns the shard and so can no longer record it. */
    void onOwnershipLost() {
        if (done) {
            return;
        }
        fail(ownershipRefusal());
    }

    /**
     * A turn that was not recorded is not part of its program, so it can run elsewhere if no output has been sent yet.
     */
    private Refusal ownershipRefusal() {
        return sink.started()
                ? Refusal.withExecution(
                        ResultCode.OUTCOME_UNKNOWN,
                        Execution.UNKNOWN,
                        "the owner of the shard changed; send the request again")
                : Refusal.notRunRetryAfter(
                        ResultCode.NOT_OWNER, "the owner of the shard changed; send the request again", 1_000);
    }

    private void closeTurn(TurnStart turn) {
        if (attemptId.isEmpty()) {
            shard.failTurn(owner.clock().now(), turn);
            return;
        }
        shard.chargeFailedAttempt(
                turn, withinBudget -> shard.failTurn(owner.clock().now(), turn));
    }

    private void dispatch(Dispatch dispatch) {
        TurnStart turn = turnStart.orElseThrow();
        attemptCount++;
        completion = new ChatCompletionAssembler(request.requestId(), body.service(), arrivedMillis);
        AttemptStart startMessage = AttemptStartFactory.ofTurn(owner, shard, turn, body, request, dispatch);
        TurnAttemptListener listener =
                new TurnAttemptListener(dispatch, owner.clock().now());
        owner.releaseFormerCache(turn.request().program(), dispatch.endpoint());
        attemptId = owner.attempts().start(dispatch.endpoint(), startMessage, listener);
        if (attemptId.isEmpty()) {
            listener.onOutcome(AttemptOutcome.failed(ResultCode.ENDPOINT_FAILED, Execution.NOT_RUN));
        }
    }

    private void forwardChunk(byte[] data) {
        Optional<byte[]> event = completion.add(data);
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
        Map<String, String> headers = CallerResponses.headers(request.requestId(), CallerResponses.EVENT_STREAM);
        headers.put("cache-control", "no-cache");
        headers.put(CallerHeaders.PROGRAM, turnStart.orElseThrow().request().program());
        sink.begin(200, headers);
    }

    private void complete(AttemptOutcome outcome) {
        TurnStart turn = turnStart.orElseThrow();
        TokenUsage usage =
                outcome.usage().orElse(new TokenUsage(turn.contextTokens() + turn.newBytes(), 0, completion.deltas()));
        StoredAnswer stored = new StoredAnswer(200, "application/json", completion.body(usage));
        TurnResult result = new TurnResult(ChatBody.canonical(completion.message()), stored, usage);
        done = true;
        shard.endTurn(owner.clock().now(), turn, result, accepted -> onTurnRecorded(accepted, turn, stored, usage));
    }

    private void onTurnRecorded(boolean accepted, TurnStart turn, StoredAnswer stored, TokenUsage usage) {
        owner.chatRuns().remove(request.requestId());
        if (!accepted) {
            Refusal refusal = ownershipRefusal();
            owner.refuse(request, sink, refusal);
            owner.duplicateRequests().onRefusal(request.requestId(), refusal);
            return;
        }
        owner.metrics().recordTurn(turn, usage, owner.clock().now() - arrivedMillis);
        if (body.stream()) {
            beginStream();
            completion.closingEvents(usage, body.includeUsage()).forEach(sink::write);
            sink.end();
        } else {
            Map<String, String> headers = CallerResponses.headers(request.requestId(), stored.contentType());
            headers.put(CallerHeaders.PROGRAM, turn.request().program());
            headers.put(CallerHeaders.TURN, Integer.toString(turn.turn()));
            sink.respond(stored.status(), headers, stored.body());
        }
        owner.duplicateRequests().onAnswer(request.requestId(), stored);
    }

    /**
     * Retries at another endpoint if no output has been sent to the caller. A turn may run twice at engines, because
     * only the recorded run becomes part of the program. The possible cost of the failed attempt is charged to the
     * budget before the next one starts.
     */
    private void attemptFailed(String endpoint, AttemptOutcome outcome) {
        attemptId = Optional.empty();
        avoidEndpoint = endpoint;
        boolean retry = isRetryable(outcome.code())
                && attemptCount < MAXIMUM_ATTEMPTS
                && !sink.started()
                && owner.workDispatcher().scheduler().tryTakeRetry(owner.clock().now(), body.service());
        if (outcome.execution() == Execution.NOT_RUN) {
            retryOrFail(retry, outcome);
            return;
        }
        mayHaveRun = true;
        shard.chargeFailedAttempt(turnStart.orElseThrow(), withinBudget -> retryOrFail(retry && withinBudget, outcome));
    }

    private void retryOrFail(boolean retry, AttemptOutcome outcome) {
        if (done) {
            return;
        }
        if (retry) {
            enqueue();
            return;
        }
        Execution execution = mayHaveRun ? Execution.RAN : Execution.NOT_RUN;
        fail(Refusal.withExecution(outcome.code(), execution, "failed after " + attemptCount + " attempts"));
    }

    private static boolean isRetryable(ResultCode code) {
        return code != ResultCode.DEADLINE_PASSED_RUNNING && code != ResultCode.STALE_EPOCH;
    }

    private final class QueuedTurn implements QueuedWork {
        private final WorkItem item;

        QueuedTurn(WorkItem item) {
            this.item = item;
        }

        @Override
        public WorkItem item() {
            return item;
        }

        @Override
        public void onDispatched(Dispatch dispatch) {
            queuedItem = Optional.empty();
            dispatch(dispatch);
        }

        private void dispatch(Dispatch dispatch) {
            ChatRun.this.dispatch(dispatch);
        }

        @Override
        public void onExpired(Refusal refusal) {
            queuedItem = Optional.empty();
            fail(mayHaveRun ? Refusal.withExecution(refusal.code(), Execution.RAN, refusal.detail()) : refusal);
        }
    }

    private final class TurnAttemptListener implements AttemptListener {
        private final Dispatch dispatch;
        private final long startedMillis;
        private long firstTokenMillis;

        TurnAttemptListener(Dispatch dispatch, long startedMillis) {
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
                owner.metrics().recordFirstToken(firstTokenMillis - arrivedMillis);
            }
            forwardChunk(data);
            owner.workDispatcher().progressed(dispatch.item(), completion.deltas());
        }

        @Override
        public long heldBytes() {
            return completion.size();
        }

        @Override
        public void onOutcome(AttemptOutcome outcome) {
            owner.workDispatcher().finished(dispatch.item(), finish(outcome));
            if (done) {
                return;
            }
            if (outcome.isComplete()) {
                complete(outcome);
                return;
            }
            attemptFailed(dispatch.endpoint(), outcome);
        }

        private FinishedAttempt finish(AttemptOutcome outcome) {
            long duration = owner.clock().now() - startedMillis;
            if (!outcome.isComplete()) {
                return FinishedAttempt.endpointFailed(completion.deltas(), duration);
            }
            TokenUsage usage = outcome.usage().orElse(new TokenUsage(0, 0, completion.deltas()));
            return FinishedAttempt.ok(
                    usage.promptTokens(),
                    usage.cachedTokens(),
                    usage.completionTokens(),
                    Math.max(0, firstTokenMillis - startedMillis),
                    duration);
        }
    }
}
