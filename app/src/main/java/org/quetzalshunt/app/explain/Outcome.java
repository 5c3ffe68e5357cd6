package org.quetzalshunt.app.explain;

import org.quetzalshunt.core.result.ResultCode;

/** Outcome of a request for its caller. */
enum Outcome {
    /** Served within its route's latency target. */
    SERVED,
    /** Served after its route's latency target. */
    LATE,
    /** Refused with a result code, and not executed. */
    REFUSED,
    /** Ended without a complete answer; it may have been executed. */
    FAILED;

    private static final int FIRST_EXECUTION_CODE = 4_000;
    private static final int FIRST_PLATFORM_CODE = 5_000;

    static Outcome of(LogLine line) {
        ResultCode code = line.code();
        if (code == ResultCode.OK) {
            return FailureCause.isLate(line) ? LATE : SERVED;
        }
        boolean mayHaveRun = code.number() >= FIRST_EXECUTION_CODE
                && code.number() < FIRST_PLATFORM_CODE
                && code != ResultCode.CRASHES_ENDPOINTS;
        return mayHaveRun ? FAILED : REFUSED;
    }
}
