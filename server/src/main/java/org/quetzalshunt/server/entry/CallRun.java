package org.quetzalshunt.server.entry;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.core.decision.Dispatch;
import org.quetzalshunt.core.decision.FinishedAttempt;
import org.quetzalshunt.core.decision.WorkItem;
import org.quetzalshunt.core.document.ServiceLimits;
import org.quetzalshunt.core.program.CallRequest;
import org.quetzalshunt.core.program.Shard;
import org.quetzalshunt.core.program.StoredAnswer;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.ResponseSink;
import org.quetzalshunt.wire.generated.AttemptStart;

/**
 * One call of a plain service in progress at the owner of its shard. A call that must run at most once has an intent
 * record in the log. Such a call is retried only if the failed attempt certainly did not run; otherwise it ends with
 * the result {@link ResultCode#OUTCOME_UNKNOWN}, which re-sends get too.
 */
final class CallRun {
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

    private final OwnerContext owner;
    private final OwnerRequest request;
    private final String service;
    private final String path;
    private final ServiceLimits limits;
    private final Optional<CallRequest> call;
    private final ResponseSink sink;
    private final Shard shard;
    private final long arrivedMillis;
    private Optional<WorkItem> queuedItem = Optional.empty();
    private Optional<Long> attemptId = Optional.empty();
    private boolean mayHaveRun;
    private int attemptCount;
    private String avoidEndpoint = "";
    private boolean started;
    private boolean done;

    CallRun(
            OwnerContext owner,
            OwnerRequest request,
            String service,
            String path,
            ServiceLimits limits,
            Optional<CallRequest> call,
            ResponseSink sink,
            Shard shard) {
        this.owner = owner;
        this.request = request;
        this.service = service;
        this.path = path;
        this.limits = limits;
        this.call = call;
        this.sink = sink;
        this.shard = shard;
        this.arrivedMillis = owner.clock().now();
    }

    /**
     * Refuses a call whose intent record is not durable by its deadline, so that the caller does not wait for the log
     * to recover. The call is withdrawn first, which makes sure that it does not run later.
     */
    void expire(long nowMillis) {
        boolean awaitsIntent = call.isPresent() && !started && !done;
        if (!awaitsIntent || nowMillis < request.deadlineMillis()) {
            return;
        }
        done = true;
        shard.cancelCall(call.get());
        sendRefusal(Refusal.notRunRetryAfter(
                ResultCode.LOG_UNAVAILABLE, "the call's intent could not be written to the log in time", 1_000));
    }

    /** Queues the call for an endpoint. A call with an intent is queued after its intent record has been applied. */
    void start() {
        started = true;
        Optional<Refusal> refusal = owner.workDispatcher()
                .offer((id, dispatcher) -> new QueuedCall(createItem(id)), limits.queuePerAccount());
        refusal.ifPresent(this::fail);
        owner.workDispatcher().tick();
    }

    private WorkItem createItem(long id) {
        WorkItem item = WorkItemFactory.ofCall(owner, id, service, request, arrivedMillis, attemptCount, avoidEndpoint);
        queuedItem = Optional.of(item);
        return item;
    }

    /**
     * Drops the call if it has not been dispatched and has no caller's idempotency key; otherwise it runs to its end.
     */
    void onCallerDisconnected() {
        if (done || attemptId.isPresent() || request.hasCallerIdempotencyKey()) {
            return;
        }
        fail(Refusal.notRun(ResultCode.CANCELLED, "the caller closed the connection"));
    }

    /** Ends the call with an error. A call with an intent is recorded first, so that a re-send gets the same result. */
    void fail(Refusal refusal) {
        if (done) {
            return;
        }
        done = true;
        queuedItem.ifPresent(item -> owner.workDispatcher().withdraw(item));
        attemptId.ifPresent(id -> owner.attempts().cancel(id));
        if (call.isEmpty()) {
            sendRefusal(refusal);
            return;
        }
        ResultCode recordedCode =
                refusal.execution() == Execution.NOT_RUN ? refusal.code() : ResultCode.OUTCOME_UNKNOWN;
        shard.endCall(
                owner.clock().now(), call.get(), recordedCode, StoredAnswer.none(), durable -> sendRefusal(refusal));
    }

    /** Ends a call whose intent was refused. Nothing is recorded, since there is no intent record. */
    void onIntentRefused(Refusal refusal) {
        if (!done) {
            done = true;
            sendRefusal(refusal);
        }
    }

    boolean belongsTo(int shardNumber) {
        return shard.number() == shardNumber;
    }

    /** Ends the call without a record, because this entry no longer owns the shard. */
    void onOwnershipLost() {
        if (done) {
            return;
        }
        done = true;
        queuedItem.ifPresent(item -> owner.workDispatcher().withdraw(item));
        boolean unknown = mayHaveRun || attemptId.isPresent();
        sendRefusal(
                unknown
                        ? Refusal.withExecution(
                                ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, "the owner of the shard changed")
                        : Refusal.notRunRetryAfter(ResultCode.NOT_OWNER, "the owner of the shard changed", 1_000));
    }

    private void sendRefusal(Refusal refusal) {
        owner.callRuns().remove(request.requestId());
        owner.refuse(request, sink, refusal);
        owner.duplicateRequests().onRefusal(request.requestId(), refusal);
    }

    private void complete(StoredAnswer answer) {
        done = true;
        if (call.isEmpty()) {
            sendAnswer(answer);
            return;
        }
        shard.endCall(owner.clock().now(), call.get(), ResultCode.OK, answer, durable -> sendAnswer(answer));
    }

    private void sendAnswer(StoredAnswer answer) {
        owner.callRuns().remove(request.requestId());
        CallerResponses.sendStored(sink, answer, request.requestId());
        owner.duplicateRequests().onAnswer(request.requestId(), answer);
    }

    private void attemptFailed(String endpoint, AttemptOutcome outcome) {
        attemptId = Optional.empty();
        boolean notRun = outcome.execution() == Execution.NOT_RUN;
        mayHaveRun |= !notRun;
        avoidEndpoint = endpoint;
        boolean repeatable = call.isEmpty();
        boolean retry = (notRun || repeatable)
                && outcome.code() != ResultCode.DEADLINE_PASSED_RUNNING
                && outcome.code() != ResultCode.STALE_EPOCH
                && attemptCount < MAXIMUM_ATTEMPTS
                && owner.workDispatcher().scheduler().tryTakeRetry(owner.clock().now(), service);
        if (retry) {
            start();
            return;
        }
        ResultCode code = mayHaveRun && !repeatable ? ResultCode.OUTCOME_UNKNOWN : outcome.code();
        fail(Refusal.withExecution(
                code, mayHaveRun ? Execution.UNKNOWN : Execution.NOT_RUN, attemptCount + " attempts were made"));
    }

    private final class QueuedCall implements QueuedWork {
        private final WorkItem item;

        QueuedCall(WorkItem item) {
            this.item = item;
        }

        @Override
        public WorkItem item() {
            return item;
        }

        @Override
        public void onDispatched(Dispatch dispatch) {
            queuedItem = Optional.empty();
            attemptCount++;
            AttemptStart startMessage =
                    AttemptStartFactory.ofCall(owner, shard, service, path, limits, call.isEmpty(), request, dispatch);
            CallAttemptListener listener = new CallAttemptListener(dispatch);
            attemptId = owner.attempts().start(dispatch.endpoint(), startMessage, listener);
            if (attemptId.isEmpty()) {
                listener.onOutcome(AttemptOutcome.failed(ResultCode.ENDPOINT_FAILED, Execution.NOT_RUN));
            }
        }

        @Override
        public void onExpired(Refusal refusal) {
            queuedItem = Optional.empty();
            fail(mayHaveRun ? Refusal.withExecution(refusal.code(), Execution.UNKNOWN, refusal.detail()) : refusal);
        }
    }

    private final class CallAttemptListener implements AttemptListener {
        private final Dispatch dispatch;
        private final long startedMillis = owner.clock().now();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status = 502;
        private String contentType = DEFAULT_CONTENT_TYPE;

        CallAttemptListener(Dispatch dispatch) {
            this.dispatch = dispatch;
        }

        @Override
        public void onHead(int headStatus, Map<String, String> headers) {
            status = headStatus;
            contentType = headers.getOrDefault(CallerHeaders.CONTENT_TYPE, DEFAULT_CONTENT_TYPE);
        }

        @Override
        public void onChunk(byte[] data) {
            body.writeBytes(data);
        }

        @Override
        public long heldBytes() {
            return body.size();
        }

        @Override
        public void onOutcome(AttemptOutcome outcome) {
            long duration = owner.clock().now() - startedMillis;
            owner.workDispatcher()
                    .finished(
                            dispatch.item(),
                            outcome.isComplete()
                                    ? FinishedAttempt.ok(0, 0, 1, duration, duration)
                                    : FinishedAttempt.endpointFailed(0, duration));
            if (done) {
                return;
            }
            if (outcome.isComplete()) {
                complete(new StoredAnswer(status, contentType, body.toByteArray()));
                return;
            }
            attemptFailed(dispatch.endpoint(), outcome);
        }
    }
}
