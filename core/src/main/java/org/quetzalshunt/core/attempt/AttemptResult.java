package org.quetzalshunt.core.attempt;

import java.util.Optional;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/**
 * How an attempt ended.
 *
 * @param code numbered code
 * @param execution whether the endpoint ran it; {@code NOT_RUN} only where it cannot run later either
 * @param chunks chunks passed on, by which the receiver knows that none is missing
 * @param usage what the engine counted, if it said so
 * @param finishReason why the engine stopped, if it said so
 */
public record AttemptResult(
        ResultCode code, Execution execution, int chunks, Optional<TokenUsage> usage, Optional<String> finishReason) {
    /** A result of which only the code and the execution are known. */
    public static AttemptResult of(ResultCode code, Execution execution, int chunks) {
        return new AttemptResult(code, execution, chunks, Optional.empty(), Optional.empty());
    }
}
