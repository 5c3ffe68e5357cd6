package org.quetzalshunt.server.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.routing.AttemptOutcome;
import org.quetzalshunt.server.http.PendingExchange;

/**
 * Forwards a request and buffers the whole response before the first byte is sent to the caller. A broken response can
 * therefore be replaced: by a retry at another endpoint if the request may run again, otherwise by an error status
 * that reports the unknown outcome.
 */
final class BufferedForwarder implements EndpointCall.Listener {
    /**
     * An attempt that has not ended after this many times the route's target latency is cancelled and retried at
     * another endpoint: late enough that most healthy endpoints have answered, early enough that another one can
     * answer before the caller's deadline.
     */
    private static final double ATTEMPT_TIMEOUT_TARGETS = 1.5;

    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final int GATEWAY_TIMEOUT = 504;

    private final Gateway gateway;
    private final AdmittedRequest admitted;
    private final EndpointCall call;
    private final ResponseBuffer body;
    private final HeldEvents held;
    private ScheduledFuture<?> deadline;
    private ScheduledFuture<?> attemptTimeout;
    private int status;
    private HttpHeaders headers;
    private int attempts;
    private boolean finished;

    private BufferedForwarder(Gateway gateway, AdmittedRequest admitted) {
        this.gateway = gateway;
        this.admitted = admitted;
        this.body = new ResponseBuffer(gateway.responses());
        this.held = new HeldEvents(admitted.exchange());
        this.call = new EndpointCall(gateway, admitted, admitted.exchange().body(), this);
    }

    /** Starts to forward a request; the caller always gets a final response. */
    static void start(Gateway gateway, AdmittedRequest admitted) {
        BufferedForwarder forwarder = new BufferedForwarder(gateway, admitted);
        admitted.exchange().onClose(forwarder::onCallerDisconnected);
        admitted.exchange()
                .setPending(new PendingExchange(admitted.request().id(), forwarder::step, forwarder::onStop));
        long remainingMillis =
                Math.max(1, admitted.deadlineMillis() - gateway.clock().now());
        forwarder.deadline = gateway.executor().schedule(forwarder::onDeadline, remainingMillis, TimeUnit.MILLISECONDS);
        forwarder.attempt();
    }

    private String step() {
        return call.isRunning() ? "at-endpoint" : "waiting-for-endpoint";
    }

    private void attempt() {
        attempts++;
        body.clear();
        held.set(0);
        headers = null;
        call.start();
        if (!finished && mayRetry()) {
            long timeoutMillis =
                    (long) (ATTEMPT_TIMEOUT_TARGETS * admitted.route().targetLatencyMillis());
            attemptTimeout = gateway.executor()
                    .schedule(this::onAttemptTimeout, Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS);
        }
    }

    private boolean mayRetry() {
        return EndpointCall.isIdempotent(admitted)
                && attempts < admitted.route().maximumAttempts();
    }

    private void onAttemptTimeout() {
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
        boolean withinLimit = body.add(data);
        held.set(body.size());
        if (!withinLimit) {
            call.cancel(AttemptOutcome.FAILED);
            body.clear();
            onBroken("the response is too large");
        }
    }

    @Override
    public void onEnd() {
        cancelAttemptTimeout();
        if (!finished && endpointFailed() && mayRetry()) {
            attempt();
            return;
        }
        byte[] response = body.toByteArray();
        if (markFinished()) {
            admitted.exchange().respond(status, gateway.dialect().callerResponseHeaders(headers), response);
            ResultReporter.logResult(gateway, admitted, ResultCode.OK, "status " + status, Optional.of(call));
        }
    }

    /**
     * Whether the endpoint itself failed, so that a retry elsewhere is useful. Without this retry, the caller would
     * use up one of its own attempts and the time until its next one. A gateway timeout is excluded: the endpoint was
     * still working at its deadline, and no time is left for another.
     */
    private boolean endpointFailed() {
        return status >= FIRST_SERVER_ERROR_STATUS && status != GATEWAY_TIMEOUT;
    }

    @Override
    public void onBroken(String reason) {
        cancelAttemptTimeout();
        if (!finished && mayRetry()) {
            attempt();
            return;
        }
        refuse(Refusal.withExecution(ResultCode.ENDPOINT_FAILED, Execution.UNKNOWN, reason));
    }

    @Override
    public void onRefused(Refusal refusal) {
        cancelAttemptTimeout();
        refuse(attempts > 1 ? withUnknownOutcome(refusal) : refusal);
    }

    /** An earlier attempt may have run, so that reporting "not run" could be false. */
    private static Refusal withUnknownOutcome(Refusal refusal) {
        ResultCode code = refusal.code() == ResultCode.DEADLINE_UNREACHABLE
                ? ResultCode.DEADLINE_PASSED_RUNNING
                : ResultCode.ENDPOINT_FAILED;
        return Refusal.withExecution(code, Execution.UNKNOWN, refusal.detail());
    }

    private void onDeadline() {
        boolean mayHaveRun = call.isRunning() || attempts > 1;
        call.cancel(AttemptOutcome.ofTimeout(headers != null));
        refuse(
                mayHaveRun
                        ? Refusal.withExecution(
                                ResultCode.DEADLINE_PASSED_RUNNING, Execution.UNKNOWN, "no answer in time")
                        : Refusal.notRun(ResultCode.DEADLINE_UNREACHABLE, "no endpoint took it in time"));
    }

    private void onStop() {
        boolean mayHaveRun = call.isRunning() || attempts > 1;
        call.cancel(AttemptOutcome.NEUTRAL);
        refuse(mayHaveRun ? StopReport.unknownOutcome() : StopReport.refusal());
    }

    private void onCallerDisconnected() {
        call.cancel(AttemptOutcome.NEUTRAL);
        if (markFinished()) {
            ResultReporter.logDisconnected(gateway, admitted, Optional.of(call));
        }
    }

    private void refuse(Refusal refusal) {
        if (markFinished()) {
            ResultReporter.refuse(gateway, admitted, refusal, Optional.of(call));
        }
    }

    private void cancelAttemptTimeout() {
        if (attemptTimeout != null) {
            attemptTimeout.cancel(false);
        }
    }

    private boolean markFinished() {
        if (finished) {
            return false;
        }
        finished = true;
        held.set(0);
        body.clear();
        cancelAttemptTimeout();
        if (deadline != null) {
            deadline.cancel(false);
        }
        return true;
    }
}
