package org.quetzalshunt.server.entry;

import java.util.Optional;
import org.quetzalshunt.core.program.TurnUsage;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/**
 * How an attempt ended.
 *
 * @param code {@link ResultCode#OK} only for a whole answer
 * @param execution whether it ran
 * @param usage tokens as the engine counted them
 * @param finishReason why the engine stopped
 */
record AttemptOutcome(ResultCode code, Execution execution, Optional<TurnUsage> usage, String finishReason) {
    static AttemptOutcome failed(ResultCode code, Execution execution) {
        return new AttemptOutcome(code, execution, Optional.empty(), "");
    }

    boolean isWhole() {
        return code == ResultCode.OK;
    }
}
