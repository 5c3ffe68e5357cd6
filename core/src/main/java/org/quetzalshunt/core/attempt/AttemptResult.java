package org.quetzalshunt.core.attempt;

import java.util.Optional;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/**
 * How an attempt ended.
 *
 * @param code numbered result code
 * @param execution whether the endpoint ran the attempt; {@code NOT_RUN} only if it cannot run later either
 * @param chunks number of chunks forwarded, by which the receiver detects missing ones
 * @param usage token counts, if the engine reported them
 * @param finishReason why the engine stopped generating, if it reported that
 */
public record AttemptResult(
        ResultCode code, Execution execution, int chunks, Optional<TokenUsage> usage, Optional<String> finishReason) {
    /** Creates a result without token usage and finish reason. */
    public static AttemptResult of(ResultCode code, Execution execution, int chunks) {
        return new AttemptResult(code, execution, chunks, Optional.empty(), Optional.empty());
    }
}
