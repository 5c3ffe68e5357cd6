package org.quetzalshunt.core.result;

import java.util.OptionalLong;

/**
 * The reason why a request was not answered successfully.
 *
 * @param code result code
 * @param execution whether the request ran
 * @param detail explanation for people; contains neither request content nor keys
 * @param retryAfterMillis delay before a retry, in milliseconds; empty if a retry is of no use
 */
public record Refusal(ResultCode code, Execution execution, String detail, OptionalLong retryAfterMillis) {

    /** Creates a refusal of a request that did not run and should not be retried. */
    public static Refusal notRun(ResultCode code, String detail) {
        return new Refusal(code, Execution.NOT_RUN, detail, OptionalLong.empty());
    }

    /** Creates a refusal of a request that did not run and may succeed when retried after a delay. */
    public static Refusal notRunRetryAfter(ResultCode code, String detail, long retryAfterMillis) {
        return new Refusal(code, Execution.NOT_RUN, detail, OptionalLong.of(retryAfterMillis));
    }

    /** Creates a refusal of a request that ran or may have run. */
    public static Refusal withExecution(ResultCode code, Execution execution, String detail) {
        return new Refusal(code, execution, detail, OptionalLong.empty());
    }
}
