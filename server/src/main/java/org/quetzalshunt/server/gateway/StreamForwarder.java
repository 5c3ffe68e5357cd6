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
    private final AdmittedRequest accepted;
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

    private StreamForwarder(Gateway gateway, AdmittedRequest accepted) {
        this.gateway = gateway;
        this.accepted = accepted;
        this.grant = new TurnGrant(gateway, accepted);
        this.pace = new GenerationMeter(gateway, accepted.tokensPerEvent());
    }

    /** Starts a run; it ends by itself. */
    static void start(Gateway gateway, AdmittedRequest accepted) {
        StreamForwarder run = new StreamForwarder(gateway, accepted);
        accepted.exchange().onClose(run::callerLeft);
        long left = Math.max(1, accepted.deadlineMillis() - gateway.clock().now());
        run.deadline = gateway.executor().schedule(run::deadlinePassed, left, TimeUnit.MILLISECONDS);
        run.begin();
    }

    private void begin() {
        ahead = grant.hasHeadroom();
        findChain();
        dispatchWhenReady();
        grant.ask(this::decided);
    }

    private void findChain() {
        if (accepted.beginsChain()) {
            chainKnown = true;
            return;
        }
        String previous = accepted.request().previousTurn().orElseThrow();
        gateway.history().find(previous, accepted.accountName(), accepted.outageUntilMillis(), this::chainFound);
    }

    private void chainFound(TurnHistory.Chain answer) {
        if (finished) {
            return;
        }
        if (answer instanceof TurnHistory.Chain.Found found) {
            chain = found.turns();
            chainKnown = true;
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
                        accepted.deadlineMillis() - gateway.clock().now())));
    }

    private void decided(BudgetManager.Verdict verdict) {
        if (finished) {
            return;
        }
        if (verdict instanceof BudgetManager.Verdict.Granted) {
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
                        accepted.deadlineMillis() - gateway.clock().now()));
    }

    /** What a caller hears when the budget is spent. */
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
        byte[] prompt = TurnPrompt.assemble(chain, accepted.exchange().body());
        call = new EndpointCall(gateway, accepted, prompt, this);
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
            if (!accepted.exchange().started()) {
                accepted.exchange().begin(status, gateway.dialect().inbound(headers));
                gateway.measures().firstEvent(gateway.clock().now() - accepted.arrivedMillis());
            }
            held.forEach(accepted.exchange()::write);
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
        accepted.exchange().respond(status, gateway.dialect().inbound(headers), failureBody.toByteArray());
        Outcome.log(gateway, accepted, ResultCode.ENDPOINT_FAILED, "status " + status, Optional.of(call));
    }

    private void keepAndEnd() {
        if (keeping) {
            return;
        }
        keeping = true;
        String id = accepted.request().id();
        if (!accepted.keepsHistory()) {
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
        long expires = gateway.clock().wall() + accepted.route().retentionMillis() + TurnGrant.RETENTION_MARGIN_MILLIS;
        return new TurnRecord(
                id,
                accepted.accountName(),
                List.copyOf(ancestors),
                accepted.exchange().body(),
                output.toByteArray(),
                expires);
    }

    private void kept(boolean kept) {
        if (finished || !kept) {
            return;
        }
        finish();
        if (!accepted.exchange().started()) {
            accepted.exchange().begin(status, gateway.dialect().inbound(headers));
        }
        accepted.exchange().end();
        Outcome.log(gateway, accepted, ResultCode.OK, events + " events", Optional.of(call));
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
            Outcome.log(gateway, accepted, ResultCode.CANCELLED, "the caller left", Optional.ofNullable(call));
        }
    }

    private void end(Refusal refusal) {
        if (!finish()) {
            return;
        }
        if (accepted.exchange().started()) {
            accepted.exchange().abort();
            Outcome.log(gateway, accepted, refusal.code(), refusal.detail(), Optional.ofNullable(call));
            return;
        }
        Outcome.refuse(gateway, accepted, refusal, Optional.ofNullable(call));
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
