package org.quetzalshunt.server.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.memory.ReadPacing;
import org.quetzalshunt.core.memory.ResponseBudget;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.routing.AttemptOutcome;
import org.quetzalshunt.core.turn.TurnPrompt;
import org.quetzalshunt.core.turn.TurnRecord;
import org.quetzalshunt.server.http.PendingExchange;

/**
 * Forwards a request whose response is a stream of events; on a route that stores history, this is a turn of a
 * program.
 *
 * <p>A turn is sent to an endpoint after its history is read and its tokens are granted. If the budget has enough
 * headroom, the turn is sent before the grant: the grant is requested while the endpoint processes the prompt, and
 * events are buffered until the tokens are granted. Later events are forwarded as they arrive. The end of the response
 * is sent only after the turn is stored, so that a caller that received the end can continue from this turn at any VM.
 */
final class StreamForwarder implements EndpointCall.Listener {
    private final Gateway gateway;
    private final AdmittedRequest admitted;
    private final TurnGrant grant;
    private final GenerationMeter meter;
    private final HeldEvents held;
    private final EventStreamDecoder decoder = EventStreamDecoder.create();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ResponseBuffer failureBody;
    private final ResponseBudget.Account account;
    private final List<byte[]> bufferedEvents = new ArrayList<>();
    private List<TurnRecord> chain = List.of();
    private EndpointCall call;
    private ScheduledFuture<?> deadline;
    private ResponseKind head;
    private int status;
    private HttpHeaders headers;
    private boolean sendsBeforeGrant;
    private boolean chainComplete;
    private boolean answerEnded;
    private boolean storing;
    private boolean finished;
    private long sentEvents;
    private long bufferedBytes;

    private StreamForwarder(Gateway gateway, AdmittedRequest admitted) {
        this.gateway = gateway;
        this.admitted = admitted;
        this.grant = new TurnGrant(gateway, admitted);
        this.meter = new GenerationMeter(gateway, admitted.tokensPerEvent());
        this.held = new HeldEvents(admitted.exchange());
        this.failureBody = new ResponseBuffer(gateway.responses());
        this.account = gateway.responses().open();
    }

    /** Starts to forward a request; the caller always gets a final response or a closed connection. */
    static void start(Gateway gateway, AdmittedRequest admitted) {
        StreamForwarder forwarder = new StreamForwarder(gateway, admitted);
        admitted.exchange().onClose(forwarder::onCallerDisconnected);
        admitted.exchange()
                .setPending(new PendingExchange(admitted.request().id(), forwarder::step, forwarder::onStop));
        long remainingMillis =
                Math.max(1, admitted.deadlineMillis() - gateway.clock().now());
        forwarder.deadline = gateway.executor().schedule(forwarder::onDeadline, remainingMillis, TimeUnit.MILLISECONDS);
        forwarder.begin();
    }

    private String step() {
        if (storing) {
            return "storing-turn";
        }
        if (call == null) {
            return "reading-history";
        }
        if (!call.isRunning()) {
            return "waiting-for-endpoint";
        }
        return admitted.exchange().started() ? "streaming" : "at-endpoint";
    }

    private void begin() {
        if (admitted.beginsChain()) {
            chainComplete = true;
            requestGrant();
            return;
        }
        gateway.chains().fetch(admitted, this::onFetched);
    }

    private void onFetched() {
        if (finished) {
            return;
        }
        loadChain();
        requestGrant();
    }

    private void requestGrant() {
        sendsBeforeGrant = grant.hasHeadroom();
        dispatchWhenReady();
        grant.request(this::onVerdict);
    }

    private void loadChain() {
        String previous = admitted.request().previousTurn().orElseThrow();
        gateway.history().find(previous, admitted.accountName(), admitted.outageWaitUntilMillis(), this::onChain);
    }

    private void onChain(TurnHistory.Chain answer) {
        if (finished) {
            return;
        }
        if (answer instanceof TurnHistory.Chain.Found found) {
            chain = found.turns();
            chainComplete = true;
            admitted.timeline().markReached(RequestTimeline.Step.HISTORY);
            dispatchWhenReady();
            return;
        }
        if (answer instanceof TurnHistory.Chain.Missing) {
            fail(Refusal.notRun(ResultCode.UNKNOWN_PROGRAM, "no such turn"));
            return;
        }
        String reason = ((TurnHistory.Chain.Unavailable) answer).reason();
        fail(Refusal.notRunRetryAfter(
                ResultCode.LOG_UNAVAILABLE,
                "history: " + reason,
                gateway.outageRetryAfterMillis(
                        admitted.deadlineMillis() - gateway.clock().now())));
    }

    private void onVerdict(BudgetManager.Verdict verdict) {
        if (finished) {
            return;
        }
        if (verdict instanceof BudgetManager.Verdict.Granted) {
            admitted.timeline().markReached(RequestTimeline.Step.GRANT);
            dispatchWhenReady();
            forwardEvents();
            if (call != null) {
                call.flow().setAwaitingGrant(false);
            }
            return;
        }
        Refusal refusal = toRefusal(verdict);
        if (call == null) {
            fail(refusal);
            return;
        }
        // The endpoint may have run the turn already, so that neither "budget exhausted" nor "not run" would be a true
        // result.
        call.cancel(AttemptOutcome.NEUTRAL);
        fail(Refusal.withExecution(ResultCode.ENDPOINT_FAILED, Execution.UNKNOWN, refusal.detail()));
    }

    private Refusal toRefusal(BudgetManager.Verdict verdict) {
        if (verdict instanceof BudgetManager.Verdict.Exhausted exhausted) {
            return exhaustedRefusal(exhausted);
        }
        String reason = ((BudgetManager.Verdict.Unavailable) verdict).reason();
        return Refusal.notRunRetryAfter(
                ResultCode.LOG_UNAVAILABLE,
                "budget: " + reason,
                gateway.outageRetryAfterMillis(
                        admitted.deadlineMillis() - gateway.clock().now()));
    }

    /** The refusal of a turn whose budget is exhausted. */
    static Refusal exhaustedRefusal(BudgetManager.Verdict.Exhausted exhausted) {
        return Refusal.notRun(
                ResultCode.BUDGET_EXHAUSTED,
                "tokens allotted: " + exhausted.allotted() + " to this VM, " + exhausted.others() + " to other VMs");
    }

    private void dispatchWhenReady() {
        if (chainComplete && (sendsBeforeGrant || grant.granted()) && call == null && !finished) {
            dispatch();
        }
    }

    private void dispatch() {
        byte[] prompt = TurnPrompt.assemble(chain, admitted.exchange().body());
        call = new EndpointCall(gateway, admitted, prompt, this);
        call.start();
    }

    @Override
    public void onHead(ResponseKind answerHead, int answerStatus, HttpHeaders answerHeaders) {
        head = answerHead;
        status = answerStatus;
        headers = answerHeaders;
    }

    @Override
    public void onData(byte[] data) {
        if (finished) {
            return;
        }
        if (head == ResponseKind.FAILURE) {
            boolean withinLimit = failureBody.add(data);
            held.set(failureBody.size());
            if (!withinLimit) {
                endAttempt("the response is too large");
            }
            return;
        }
        List<EventStreamDecoder.Frame> completeEvents = decoder.decode(data);
        meter.onEvents(call, completeEvents.size());
        for (EventStreamDecoder.Frame frame : completeEvents) {
            bufferedEvents.add(frame.octets());
            bufferedBytes += frame.octets().length;
            record(frame.data());
        }
        if (decoder.isBroken()) {
            endAttempt("events out of order or too long");
            return;
        }
        if (exceedsRecord()) {
            endAttempt("the turn is larger than a record of the store");
            return;
        }
        forwardEvents();
        if (!finished) {
            long heldBytes = bufferedBytes + output.size() + decoder.pendingBytes();
            held.set(heldBytes);
            if (!account.set(heldBytes)) {
                endAttempt("the events that wait for the grant of their tokens are too large");
                return;
            }
            call.flow().setAwaitingGrant(!grant.granted() && heldBytes > ReadPacing.BUFFER_BYTES);
        }
    }

    private void record(byte[] data) {
        if (admitted.keepsHistory()) {
            output.writeBytes(data);
            output.write('\n');
        }
    }

    /** Whether the turn can no longer be stored, so that its response could never end. */
    private boolean exceedsRecord() {
        return admitted.keepsHistory()
                && output.size() + admitted.exchange().body().length
                        > gateway.store().appendLimits().recordBytes();
    }

    private void endAttempt(String reason) {
        call.cancel(AttemptOutcome.FAILED);
        onBroken(reason);
    }

    private void forwardEvents() {
        if (!grant.granted() || finished || headers == null || head != ResponseKind.SUCCESS) {
            return;
        }
        if (!bufferedEvents.isEmpty()) {
            if (!admitted.exchange().started()) {
                admitted.exchange().begin(status, gateway.dialect().callerResponseHeaders(headers));
                gateway.metrics().recordFirstEvent(gateway.clock().now() - admitted.arrivedMillis());
            }
            bufferedEvents.forEach(admitted.exchange()::write);
            admitted.timeline().markEventsSent();
            sentEvents += bufferedEvents.size();
            bufferedEvents.clear();
            bufferedBytes = 0;
            held.set(output.size() + decoder.pendingBytes());
        }
        if (answerEnded) {
            storeAndEnd();
        }
    }

    @Override
    public void onEnd() {
        if (finished) {
            return;
        }
        if (head == ResponseKind.FAILURE) {
            forwardFailure();
            return;
        }
        if (decoder.hasIncompleteEvent()) {
            onBroken("the answer ended inside an event");
            return;
        }
        answerEnded = true;
        meter.onEnd(call);
        forwardEvents();
    }

    private void forwardFailure() {
        byte[] response = failureBody.toByteArray();
        markFinished();
        admitted.exchange().respond(status, gateway.dialect().callerResponseHeaders(headers), response);
        ResultReporter.logResult(gateway, admitted, ResultCode.ENDPOINT_FAILED, "status " + status, Optional.of(call));
    }

    private void storeAndEnd() {
        if (storing) {
            return;
        }
        storing = true;
        if (!admitted.keepsHistory()) {
            onStored(true);
            return;
        }
        gateway.history().save(newTurn(), () -> !finished, this::onStored);
    }

    private TurnHistory.NewTurn newTurn() {
        return new TurnHistory.NewTurn(
                admitted.request().id(),
                admitted.accountName(),
                chain,
                admitted.exchange().body(),
                output.toByteArray(),
                admitted.recordsNeededMillis(gateway.clock().now()));
    }

    private void onStored(boolean stored) {
        if (stored && admitted.keepsHistory()) {
            gateway.chains().onTurnStored(admitted.request().id());
        }
        if (finished || !stored) {
            return;
        }
        markFinished();
        if (!admitted.exchange().started()) {
            admitted.exchange().begin(status, gateway.dialect().callerResponseHeaders(headers));
        }
        admitted.exchange().end();
        ResultReporter.logResult(gateway, admitted, ResultCode.OK, sentEvents + " events", Optional.of(call));
    }

    @Override
    public void onBroken(String reason) {
        fail(Refusal.withExecution(ResultCode.ANSWER_CUT, Execution.UNKNOWN, reason));
    }

    @Override
    public void onRefused(Refusal refusal) {
        fail(refusal);
    }

    private void onDeadline() {
        boolean mayHaveRun = mayHaveRun();
        if (call != null) {
            call.cancel(AttemptOutcome.ofTimeout(headers != null));
        }
        fail(
                mayHaveRun
                        ? Refusal.withExecution(ResultCode.DEADLINE_PASSED_RUNNING, Execution.UNKNOWN, lateDetail())
                        : Refusal.notRun(ResultCode.DEADLINE_UNREACHABLE, "not sent in time"));
    }

    private boolean mayHaveRun() {
        return (call != null && call.isRunning()) || answerEnded;
    }

    private void onStop() {
        boolean mayHaveRun = mayHaveRun();
        if (call != null) {
            call.cancel(AttemptOutcome.NEUTRAL);
        }
        fail(mayHaveRun ? StopReport.unknownOutcome() : StopReport.refusal());
    }

    private String lateDetail() {
        if (storing) {
            return "the turn was not stored in time";
        }
        return grant.granted() ? "no whole answer in time" : "no grant of tokens in time";
    }

    private void onCallerDisconnected() {
        if (call != null) {
            call.cancel(AttemptOutcome.NEUTRAL);
        }
        if (markFinished()) {
            ResultReporter.logDisconnected(gateway, admitted, Optional.ofNullable(call));
        }
    }

    private void fail(Refusal refusal) {
        if (!markFinished()) {
            return;
        }
        if (admitted.exchange().started()) {
            admitted.exchange().abort();
            ResultReporter.logResult(gateway, admitted, refusal.code(), refusal.detail(), Optional.ofNullable(call));
            return;
        }
        ResultReporter.refuse(gateway, admitted, refusal, Optional.ofNullable(call));
    }

    private boolean markFinished() {
        if (finished) {
            return false;
        }
        finished = true;
        if (deadline != null) {
            deadline.cancel(false);
        }
        held.set(0);
        failureBody.clear();
        account.set(0);
        grant.close(sentEvents);
        return true;
    }
}
