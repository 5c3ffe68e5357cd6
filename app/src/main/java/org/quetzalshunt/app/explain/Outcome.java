package org.quetzalshunt.app.explain;

import org.quetzalshunt.core.result.ResultCode;

/** How a request ended for its caller. */
enum Outcome {
    /** In time. */
    SERVED,
    /** After its target. */
    LATE,
    /** It did not run, and was told so. */
    REFUSED,
    /** Without a whole answer, though it may have run. */
    FAILED;

    private static final int FIRST_RUN_OUTCOME = 4_000;
    private static final int FIRST_PLATFORM_CODE = 5_000;

    static Outcome of(LogLine line) {
        ResultCode code = line.code();
        if (code == ResultCode.OK) {
            return FailureCause.isLate(line) ? LATE : SERVED;
        }
        boolean mayHaveRun = code.number() >= FIRST_RUN_OUTCOME
                && code.number() < FIRST_PLATFORM_CODE
                && code != ResultCode.CRASHES_ENDPOINTS;
        return mayHaveRun ? FAILED : REFUSED;
    }
}
