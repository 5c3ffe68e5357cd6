package org.quetzalshunt.core.dispatch;

import org.quetzalshunt.core.result.ResultCode;

/** What happens to the first turn of a program. */
public sealed interface StartDecision {
    /** It is sent now. */
    record Send() implements StartDecision {}

    /** It waits for a slot; {@link Dispatcher#takeDue} returns it later. */
    record Wait() implements StartDecision {}

    /**
     * It is not run.
     *
     * @param retryAfterMillis time after which a slot is expected for it
     */
    record Refuse(ResultCode code, String detail, long retryAfterMillis) implements StartDecision {}
}
