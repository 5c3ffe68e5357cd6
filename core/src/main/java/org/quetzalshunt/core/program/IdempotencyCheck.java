package org.quetzalshunt.core.program;

import java.util.Arrays;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResponseStatus;
import org.quetzalshunt.core.result.ResultCode;

/** Decides how to answer a request whose idempotency key was used before. */
final class IdempotencyCheck {
    private IdempotencyCheck() {}

    /**
     * Answers a request whose key has a stored result. A completed request is answered from the result. A request with
     * a recorded intent but no outcome may have run, so it is refused with an unknown outcome and never run again.
     */
    static AdmissionDecision againstStoredResult(StoredResult result, byte[] digest) {
        if (!Arrays.equals(result.requestDigest(), digest)) {
            return keyReused();
        }
        if (!result.ended()) {
            return new AdmissionDecision.Refused(Refusal.withExecution(
                    ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, "request " + result.requestId() + " may have run"));
        }
        if (result.resultCode() != ResultCode.OK.number()) {
            return new AdmissionDecision.Refused(Refusal.withExecution(
                    ResultCode.fromNumber(result.resultCode()),
                    Execution.UNKNOWN,
                    "recorded outcome of a request sent before with the same idempotency key"));
        }
        if (!ResponseStatus.isFinal(result.answer().status())) {
            return new AdmissionDecision.Refused(Refusal.withExecution(
                    ResultCode.OUTCOME_UNKNOWN,
                    Execution.UNKNOWN,
                    "the recorded status " + result.answer().status() + " is none of a response"));
        }
        return new AdmissionDecision.Replay(result.requestId(), result.answer());
    }

    /** Attaches a repeated request to the one with the same key that is queued or running. */
    static AdmissionDecision againstActiveRequest(String requestId, byte[] runningDigest, byte[] digest) {
        return Arrays.equals(runningDigest, digest) ? new AdmissionDecision.Attach(requestId) : keyReused();
    }

    private static AdmissionDecision keyReused() {
        return new AdmissionDecision.Refused(Refusal.notRun(
                ResultCode.IDEMPOTENCY_KEY_REUSED,
                "the idempotency key was used before with another method, path, service or body"));
    }
}
