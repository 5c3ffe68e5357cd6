package org.quetzalshunt.server.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.routing.AttemptOutcome;

/**
 * A request whose answer is read whole before its first octet goes to the caller, so that a broken one can be replaced:
 * by another endpoint's where the request may run again, by a status that says so where it may not.
 */
final class BufferedForwarder implements EndpointCall.Listener {
    /**
     * An endpoint that has said nothing for this many times the route's target is left for another one: late enough that
     * most healthy ones have answered, early enough that another can within the caller's time.
     */
    private static final double SILENT_TARGETS = 1.5;

    private static final int SERVER_ERRORS = 500;
    private static final int GATEWAY_TIMEOUT = 504;

    private final Gateway gateway;
    private final AdmittedRequest admitted;
    private final EndpointCall call;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private ScheduledFuture<?> deadline;
    private ScheduledFuture<?> silence;
    private int status;
    private HttpHeaders headers;
    private int runs;
    private boolean finished;

    private BufferedForwarder(Gateway gateway, AdmittedRequest admitted) {
        this.gateway = gateway;
        this.admitted = admitted;
        this.call = new EndpointCall(gateway, admitted, admitted.exchange().body(), this);
    }

    /** Starts a run; it ends by itself. */
    static void start(Gateway gateway, AdmittedRequest admitted) {
        BufferedForwarder run = new BufferedForwarder(gateway, admitted);
        admitted.exchange().onClose(run::callerLeft);
        long left = Math.max(1, admitted.deadlineMillis() - gateway.clock().now());
        run.deadline = gateway.executor().schedule(run::deadlinePassed, left, TimeUnit.MILLISECONDS);
        run.attempt();
    }

    private void attempt() {
        runs++;
        body.reset();
        headers = null;
        call.start();
        if (!finished && mayRunAgain()) {
            long silent = (long) (SILENT_TARGETS * admitted.route().targetLatencyMillis());
            silence = gateway.executor().schedule(this::silent, Math.max(1, silent), TimeUnit.MILLISECONDS);
        }
    }

    private boolean mayRunAgain() {
        return EndpointCall.repeatable(admitted) && runs < admitted.route().maximumAttempts();
    }

    private void silent() {
        if (finished) {
            return;
        }
        call.cancel(AttemptOutcome.ERRORED);
        attempt();
    }

    @Override
    public void onHead(ResponseKind head, int answerStatus, HttpHeaders answerHeaders) {
        status = answerStatus;
        headers = answerHeaders;
    }

    @Override
    public void onData(byte[] data) {
        body.writeBytes(data);
    }

    @Override
    public void onEnd() {
        stopSilence();
        if (!finished && endpointFailed() && mayRunAgain()) {
            attempt();
            return;
        }
        if (finish()) {
            admitted.exchange().respond(status, gateway.dialect().inbound(headers), body.toByteArray());
            Outcome.log(gateway, admitted, ResultCode.OK, "status " + status, Optional.of(call));
        }
    }

    /**
     * Guards against endpoints that fail part of their requests: their callers would spend a try of their own, and the
     * time to come back. An endpoint that was still at work at its deadline is no such case, and leaves no time.
     */
    private boolean endpointFailed() {
        return status >= SERVER_ERRORS && status != GATEWAY_TIMEOUT;
    }

    @Override
    public void onBroken(String reason) {
        stopSilence();
        if (!finished && mayRunAgain()) {
            attempt();
            return;
        }
        end(Refusal.after(ResultCode.ENDPOINT_FAILED, Execution.UNKNOWN, reason));
    }

    @Override
    public void onRefused(Refusal refusal) {
        stopSilence();
        // An earlier attempt may have run, and then "not run" would be untrue.
        end(runs > 1 ? Refusal.after(ResultCode.ENDPOINT_FAILED, Execution.UNKNOWN, refusal.detail()) : refusal);
    }

    private void deadlinePassed() {
        boolean ran = call.running() || runs > 1;
        call.cancel(AttemptOutcome.ofLate(headers != null));
        end(
                ran
                        ? Refusal.after(ResultCode.DEADLINE_PASSED_RUNNING, Execution.UNKNOWN, "no answer in time")
                        : Refusal.notRun(ResultCode.DEADLINE_UNREACHABLE, "no endpoint took it in time"));
    }

    private void callerLeft() {
        call.cancel(AttemptOutcome.NEUTRAL);
        if (finish()) {
            Outcome.log(gateway, admitted, ResultCode.CANCELLED, "the caller left", Optional.of(call));
        }
    }

    private void end(Refusal refusal) {
        if (finish()) {
            Outcome.refuse(gateway, admitted, refusal, Optional.of(call));
        }
    }

    private void stopSilence() {
        if (silence != null) {
            silence.cancel(false);
        }
    }

    private boolean finish() {
        if (finished) {
            return false;
        }
        finished = true;
        stopSilence();
        if (deadline != null) {
            deadline.cancel(false);
        }
        return true;
    }
}
