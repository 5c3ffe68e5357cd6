package org.quetzalshunt.server.entry;

import java.util.Optional;
import org.quetzalshunt.core.program.TokenUsage;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/**
 * Result of one attempt at an endpoint.
 *
 * @param code {@link ResultCode#OK} only if the response is complete
 * @param execution whether the endpoint ran the request
 * @param usage token counts reported by the engine
 * @param finishReason finish reason reported by the engine; empty if there is none
 */
record AttemptOutcome(ResultCode code, Execution execution, Optional<TokenUsage> usage, String finishReason) {
    static AttemptOutcome failed(ResultCode code, Execution execution) {
        return new AttemptOutcome(code, execution, Optional.empty(), "");
    }

    boolean isComplete() {
        return code == ResultCode.OK;
    }
}
