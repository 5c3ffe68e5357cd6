package org.quetzalshunt.core.result;

import java.util.OptionalLong;

/**
 * Why a request did not get its answer.
 *
 * @param code numbered code
 * @param execution whether the request ran
 * @param detail what a person should know; never content, never a key
 * @param retryAfterMillis when to come back, in milliseconds; empty when coming back is of no use
 */
public record Refusal(ResultCode code, Execution execution, String detail, OptionalLong retryAfterMillis) {

    /** A refusal that no retry mends. */
    public static Refusal notRun(ResultCode code, String detail) {
        return new Refusal(code, Execution.NOT_RUN, detail, OptionalLong.empty());
    }

    /** A refusal that a later retry may mend. */
    public static Refusal notRunRetryAfter(ResultCode code, String detail, long retryAfterMillis) {
        return new Refusal(code, Execution.NOT_RUN, detail, OptionalLong.of(retryAfterMillis));
    }

    /** The request ran, or may have run. */
    public static Refusal after(ResultCode code, Execution execution, String detail) {
        return new Refusal(code, execution, detail, OptionalLong.empty());
    }
}
