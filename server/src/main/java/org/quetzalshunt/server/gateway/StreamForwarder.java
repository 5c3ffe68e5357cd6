package org.quetzalshunt.server.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.routing.AttemptOutcome;
import org.quetzalshunt.core.turn.TurnPrompt;
import org.quetzalshunt.core.turn.TurnRecord;

/**
 * A request whose answer is a stream of events; a turn of a program, where its route keeps history.
 *
 * <p>A turn is sent once its history is read and its tokens are granted, except where the budget is plainly large enough: then its
 * grant is asked for while the endpoint reads the prompt, and events wait for it. Events then pass as they come. The end of the
 * answer passes only once the turn is kept: a caller that saw the end can go on from it at any VM, whatever happens.
 */
final class StreamForwarder implements EndpointCall.Listener {
    private final Gateway gateway;
    private final AdmittedRequest admitted;
    private final TurnGrant grant;
    private final GenerationMeter pace;
    private final EventFrames frames = EventFrames.create();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream failureBody = new ByteArrayOutputStream();
    private final List<byte[]> held = new ArrayList<>();
    private List<TurnRecord> chain = List.of();
    private EndpointCall call;
    private ScheduledFuture<?> deadline;
    private ResponseKind head;
    private int status;
    private HttpHeaders headers;
    private boolean ahead;
    private boolean chainKnown;
    private boolean answerEnded;
    private boolean keeping;
    private boolean finished;
    private long events;

    private StreamForwarder(Gateway gateway, AdmittedRequest admitted) {
        this.gateway = gateway;
        this.admitted = admitted;
        this.grant = new TurnGrant(gateway, admitted);
        this.pace = new GenerationMeter(gateway, admitted.tokensPerEvent());
    }

    /** Starts a run; it ends by itself. */
    static void start(Gateway gateway, AdmittedRequest admitted) {
        StreamForwarder run = new StreamForwarder(gateway, admitted);
        admitted.exchange().onClose(run::callerLeft);
        long left = Math.max(1, admitted.deadlineMillis() - gateway.clock().now());
        run.deadline = gateway.executor().schedule(run::deadlinePassed, left, TimeUnit.MILLISECONDS);
        run.begin();
    }

    private void begin() {
        if (admitted.beginsChain()) {
            chainKnown = true;
            askGrant();
            return;
        }
        gateway.chains().fetch(admitted, this::onFetched);
    }

    private void onFetched() {
        if (finished) {
            return;
        }
        findChain();
        askGrant();
    }

    private void askGrant() {
        ahead = grant.hasHeadroom();
        dispatchWhenReady();
        grant.ask(this::decided);
    }

    private void findChain() {
        String previous = admitted.request().previousTurn().orElseThrow();
        gateway.history().find(previous, admitted.accountName(), admitted.outageWaitUntilMillis(), this::chainFound);
    }

    private void chainFound(TurnHistory.Chain answer) {
        if (finished) {
            return;
        }
        if (answer instanceof TurnHistory.Chain.Found found) {
            chain = found.turns();
            chainKnown = true;
            admitted.timeline().reached(RequestTimeline.Step.HISTORY);
            dispatchWhenReady();
            return;
        }
        if (answer instanceof TurnHistory.Chain.Missing) {
            end(Refusal.notRun(ResultCode.UNKNOWN_PROGRAM, "no such turn"));
            return;
        }
        String reason = ((TurnHistory.Chain.Unavailable) answer).reason();
        end(Refusal.notRunRetryAfter(
                ResultCode.LOG_UNAVAILABLE,
                "history: " + reason,
                gateway.outageRetryAfterMillis(
                        admitted.deadlineMillis() - gateway.clock().now())));
    }

    private void decided(BudgetManager.Verdict verdict) {
        if (finished) {
            return;
        }
        if (verdict instanceof BudgetManager.Verdict.Granted) {
            admitted.timeline().reached(RequestTimeline.Step.GRANT);
            dispatchWhenReady();
            pass();
            return;
        }
        Refusal refusal = refusal(verdict);
        if (call == null) {
            end(refusal);
            return;
        }
        // The endpoint may have run it by now, and then neither "spent" nor "not run" would be true.
        call.cancel(AttemptOutcome.NEUTRAL);
        end(Refusal.after(ResultCode.ENDPOINT_FAILED, Execution.UNKNOWN, refusal.detail()));
    }

    private Refusal refusal(BudgetManager.Verdict verdict) {
        if (verdict instanceof BudgetManager.Verdict.Exhausted spent) {
            return exhaustedRefusal(spent);
        }
        String reason = ((BudgetManager.Verdict.Unavailable) verdict).reason();
        return Refusal.notRunRetryAfter(
                ResultCode.LOG_UNAVAILABLE,
                "budget: " + reason,
                gateway.outageRetryAfterMillis(
                        admitted.deadlineMillis() - gateway.clock().now()));
    }

    /** The answer to a caller whose budget is exhausted. */
    static Refusal exhaustedRefusal(BudgetManager.Verdict.Exhausted spent) {
        return Refusal.notRun(
                ResultCode.BUDGET_EXHAUSTED,
                "allotted " + spent.allotted() + " here, " + spent.others() + " elsewhere");
    }

    private void dispatchWhenReady() {
        if (chainKnown && (ahead || grant.granted()) && call == null && !finished) {
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
            failureBody.writeBytes(data);
            return;
        }
        List<EventFrames.Frame> whole = frames.accept(data);
        pace.events(call, whole.size());
        for (EventFrames.Frame frame : whole) {
            held.add(frame.octets());
            output.writeBytes(frame.data());
            output.write('\n');
        }
        if (frames.broken()) {
            call.cancel(AttemptOutcome.FAILED);
            onBroken("events out of order");
            return;
        }
        pass();
    }

    private void pass() {
        if (!grant.granted() || finished || headers == null || head != ResponseKind.SUCCESS) {
            return;
        }
        if (!held.isEmpty()) {
            if (!admitted.exchange().started()) {
                admitted.exchange().begin(status, gateway.dialect().inbound(headers));
                gateway.measures().firstEvent(gateway.clock().now() - admitted.arrivedMillis());
            }
            held.forEach(admitted.exchange()::write);
            admitted.timeline().passedEvents();
            events += held.size();
            held.clear();
        }
        if (answerEnded) {
            keepAndEnd();
        }
    }

    @Override
    public void onEnd() {
        if (finished) {
            return;
        }
        if (head == ResponseKind.FAILURE) {
            passFailure();
            return;
        }
        if (frames.incomplete()) {
            onBroken("the answer ended inside an event");
            return;
        }
        answerEnded = true;
        pace.ended(call);
        pass();
    }

    private void passFailure() {
        finish();
        admitted.exchange().respond(status, gateway.dialect().inbound(headers), failureBody.toByteArray());
        Outcome.log(gateway, admitted, ResultCode.ENDPOINT_FAILED, "status " + status, Optional.of(call));
    }

    private void keepAndEnd() {
        if (keeping) {
            return;
        }
        keeping = true;
        String id = admitted.request().id();
        if (!admitted.keepsHistory()) {
            kept(true);
            return;
        }
        gateway.history().keep(record(id), () -> !finished, this::kept);
    }

    private TurnRecord record(String id) {
        List<String> ancestors = new ArrayList<>();
        if (!chain.isEmpty()) {
            TurnRecord last = chain.get(chain.size() - 1);
            ancestors.addAll(last.ancestors());
            ancestors.add(last.id());
        }
        long expires = gateway.clock().wall() + admitted.recordRetentionMillis();
        return new TurnRecord(
                id,
                admitted.accountName(),
                List.copyOf(ancestors),
                admitted.exchange().body(),
                output.toByteArray(),
                expires);
    }

    private void kept(boolean kept) {
        if (kept && admitted.keepsHistory()) {
            gateway.chains().onTurnStored(admitted.request().id());
        }
        if (finished || !kept) {
            return;
        }
        finish();
        if (!admitted.exchange().started()) {
            admitted.exchange().begin(status, gateway.dialect().inbound(headers));
        }
        admitted.exchange().end();
        Outcome.log(gateway, admitted, ResultCode.OK, events + " events", Optional.of(call));
    }

    @Override
    public void onBroken(String reason) {
        end(Refusal.after(ResultCode.ANSWER_CUT, Execution.UNKNOWN, reason));
    }

    @Override
    public void onRefused(Refusal refusal) {
        end(refusal);
    }

    private void deadlinePassed() {
        boolean ran = (call != null && call.running()) || answerEnded;
        if (call != null) {
            call.cancel(AttemptOutcome.ofLate(headers != null));
        }
        end(
                ran
                        ? Refusal.after(ResultCode.DEADLINE_PASSED_RUNNING, Execution.UNKNOWN, late())
                        : Refusal.notRun(ResultCode.DEADLINE_UNREACHABLE, "not sent in time"));
    }

    private String late() {
        if (keeping) {
            return "the turn could not be kept in time";
        }
        return grant.granted() ? "no whole answer in time" : "no grant of tokens in time";
    }

    private void callerLeft() {
        if (call != null) {
            call.cancel(AttemptOutcome.NEUTRAL);
        }
        if (finish()) {
            Outcome.log(gateway, admitted, ResultCode.CANCELLED, "the caller left", Optional.ofNullable(call));
        }
    }

    private void end(Refusal refusal) {
        if (!finish()) {
            return;
        }
        if (admitted.exchange().started()) {
            admitted.exchange().abort();
            Outcome.log(gateway, admitted, refusal.code(), refusal.detail(), Optional.ofNullable(call));
            return;
        }
        Outcome.refuse(gateway, admitted, refusal, Optional.ofNullable(call));
    }

    private boolean finish() {
        if (finished) {
            return false;
        }
        finished = true;
        if (deadline != null) {
            deadline.cancel(false);
        }
        grant.close(events);
        return true;
    }
}
