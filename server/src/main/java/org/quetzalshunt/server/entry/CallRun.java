package org.quetzalshunt.server.entry;

import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.core.decision.Dispatch;
import org.quetzalshunt.core.decision.Finish;
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
 * One call of a plain service under way at the owner. A call with an intent is tried again only after an attempt of
 * which it is known that it did not run; what may have run ends as unknown and stays so.
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
    private Optional<WorkItem> waiting = Optional.empty();
    private Optional<Long> attempt = Optional.empty();
    private boolean mayHaveRun;
    private int attempts;
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
     * Answers a call whose intent the log has not taken by its deadline. It is given up first, so "not run" is true, and
     * the caller need not wait for the log to come back.
     */
    void expire(long nowMillis) {
        boolean waitsForIntent = call.isPresent() && !started && !done;
        if (!waitsForIntent || nowMillis < request.deadlineMillis()) {
            return;
        }
        done = true;
        shard.withdrawCall(call.get());
        tell(Refusal.notRunRetryAfter(ResultCode.LOG_UNAVAILABLE, "the call's intent could not be kept", 1_000));
    }

    /** Queues the call for an endpoint; for one with an intent, after the intent is folded. */
    void start() {
        started = true;
        Optional<Refusal> refusal =
                owner.board().offer((id, board) -> new CallWork(item(id)), limits.queuePerAccount());
        refusal.ifPresent(this::fail);
        owner.board().tick();
    }

    private WorkItem item(long id) {
        WorkItem item = WorkItems.ofCall(owner, id, service, request, arrivedMillis, attempts, avoidEndpoint);
        waiting = Optional.of(item);
        return item;
    }

    /** The caller went away: a call that has not been dispatched is dropped, one that runs goes on to its record. */
    void callerGone() {
        if (done || attempt.isPresent() || request.hasCallersKey()) {
            return;
        }
        fail(Refusal.notRun(ResultCode.CANCELLED, "the caller left"));
    }

    /** Ends the call with a refusal, recorded first so that a re-send hears the same. */
    void fail(Refusal refusal) {
        if (done) {
            return;
        }
        done = true;
        waiting.ifPresent(item -> owner.board().withdraw(item));
        attempt.ifPresent(id -> owner.attempts().cancel(id));
        if (call.isEmpty()) {
            tell(refusal);
            return;
        }
        ResultCode recorded = refusal.execution() == Execution.NOT_RUN ? refusal.code() : ResultCode.OUTCOME_UNKNOWN;
        shard.endCall(owner.clock().now(), call.get(), recorded, StoredAnswer.none(), kept -> tell(refusal));
    }

    /** The intent was not kept, so there is nothing to record. */
    void intentRefused(Refusal refusal) {
        if (!done) {
            done = true;
            tell(refusal);
        }
    }

    boolean isOf(int shardNumber) {
        return shard.number() == shardNumber;
    }

    /** Ends the call without a record, when the shard is no longer this entry's. */
    void ownershipLost() {
        if (done) {
            return;
        }
        done = true;
        waiting.ifPresent(item -> owner.board().withdraw(item));
        boolean unknown = mayHaveRun || attempt.isPresent();
        tell(
                unknown
                        ? Refusal.after(ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, "the shard passed on")
                        : Refusal.notRunRetryAfter(ResultCode.NOT_OWNER, "the shard passed on", 1_000));
    }

    private void tell(Refusal refusal) {
        owner.callRuns().remove(request.requestId());
        owner.refuse(request, sink, refusal);
        owner.waiters().refused(request.requestId(), refusal);
    }

    private void whole(StoredAnswer answer) {
        done = true;
        if (call.isEmpty()) {
            answer(answer);
            return;
        }
        shard.endCall(owner.clock().now(), call.get(), ResultCode.OK, answer, kept -> answer(answer));
    }

    private void answer(StoredAnswer answer) {
        owner.callRuns().remove(request.requestId());
        Answers.stored(sink, answer, request.requestId());
        owner.waiters().answered(request.requestId(), answer);
    }

    private void attemptFailed(String endpoint, AttemptOutcome outcome) {
        attempt = Optional.empty();
        boolean notRun = outcome.execution() == Execution.NOT_RUN;
        mayHaveRun |= !notRun;
        avoidEndpoint = endpoint;
        boolean repeatable = call.isEmpty();
        boolean again = (notRun || repeatable)
                && outcome.code() != ResultCode.DEADLINE_PASSED_RUNNING
                && outcome.code() != ResultCode.STALE_EPOCH
                && attempts < MAXIMUM_ATTEMPTS
                && owner.board().scheduler().mayRetry(owner.clock().now(), service);
        if (again) {
            start();
            return;
        }
        ResultCode code = mayHaveRun && !repeatable ? ResultCode.OUTCOME_UNKNOWN : outcome.code();
        fail(Refusal.after(code, mayHaveRun ? Execution.UNKNOWN : Execution.NOT_RUN, attempts + " attempts"));
    }

    private final class CallWork implements Work {
        private final WorkItem item;

        CallWork(WorkItem item) {
            this.item = item;
        }

        @Override
        public WorkItem item() {
            return item;
        }

        @Override
        public void dispatched(Dispatch dispatch) {
            waiting = Optional.empty();
            attempts++;
            AttemptStart order =
                    AttemptOrders.ofCall(owner, shard, service, path, limits, call.isEmpty(), request, dispatch);
            CallAttempt listener = new CallAttempt(dispatch);
            attempt = owner.attempts().start(dispatch.endpoint(), order, listener);
            if (attempt.isEmpty()) {
                listener.onOutcome(AttemptOutcome.failed(ResultCode.ENDPOINT_FAILED, Execution.NOT_RUN));
            }
        }

        @Override
        public void expired(Refusal refusal) {
            waiting = Optional.empty();
            fail(mayHaveRun ? Refusal.after(refusal.code(), Execution.UNKNOWN, refusal.detail()) : refusal);
        }
    }

    private final class CallAttempt implements AttemptListener {
        private final Dispatch dispatch;
        private final long startedMillis = owner.clock().now();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status = 502;
        private String contentType = DEFAULT_CONTENT_TYPE;

        CallAttempt(Dispatch dispatch) {
            this.dispatch = dispatch;
        }

        @Override
        public void onHead(int answered, Map<String, String> headers) {
            status = answered;
            contentType = headers.getOrDefault(CallerHeaders.CONTENT_TYPE, DEFAULT_CONTENT_TYPE);
        }

        @Override
        public void onChunk(byte[] data) {
            body.writeBytes(data);
        }

        @Override
        public void onOutcome(AttemptOutcome outcome) {
            long duration = owner.clock().now() - startedMillis;
            owner.board()
                    .finished(
                            dispatch.item(),
                            outcome.isWhole()
                                    ? Finish.ok(0, 0, 1, duration, duration)
                                    : Finish.endpointFailed(0, duration));
            if (done) {
                return;
            }
            if (outcome.isWhole()) {
                whole(new StoredAnswer(status, contentType, body.toByteArray()));
                return;
            }
            attemptFailed(dispatch.endpoint(), outcome);
        }
    }
}
