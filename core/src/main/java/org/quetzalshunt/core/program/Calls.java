package org.quetzalshunt.core.program;

import java.util.Arrays;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;

/** What a re-send under a known idempotency key hears. */
final class Calls {
    private Calls() {}

    /** An ended request gives its answer; one with an intent and no end may have run and is never run again. */
    static Admission knownResult(StoredResult result, byte[] digest) {
        if (!Arrays.equals(result.requestDigest(), digest)) {
            return reused();
        }
        if (!result.ended()) {
            return new Admission.Refused(Refusal.after(
                    ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, "request " + result.requestId() + " may have run"));
        }
        if (result.resultCode() != ResultCode.OK.number()) {
            return new Admission.Refused(
                    Refusal.after(ResultCode.fromNumber(result.resultCode()), Execution.UNKNOWN, "as told before"));
        }
        return new Admission.Replay(result.requestId(), result.stored());
    }

    /** A request that is under way is attached to. */
    static Admission sameRequest(String requestId, byte[] runningDigest, byte[] digest) {
        return Arrays.equals(runningDigest, digest) ? new Admission.Attach(requestId) : reused();
    }

    private static Admission reused() {
        return new Admission.Refused(Refusal.notRun(
                ResultCode.IDEMPOTENCY_KEY_REUSED, "the key named another method, path, service or body before"));
    }
}
