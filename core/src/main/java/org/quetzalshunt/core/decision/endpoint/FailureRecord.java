package org.quetzalshunt.core.decision.endpoint;

/**
 * Failures and ejections of one endpoint.
 *
 * @param consecutive failures since the last complete answer
 * @param ejections number of ejections so far, which sets the length of the next one
 * @param ejectedUntilMillis end of the ejection; has no meaning if the endpoint is not ejected
 * @param ejected whether the endpoint is ejected
 */
public record FailureRecord(int consecutive, int ejections, long ejectedUntilMillis, boolean ejected) {
    private static final FailureRecord NONE = new FailureRecord(0, 0, 0, false);

    static FailureRecord none() {
        return NONE;
    }

    FailureRecord withFailure() {
        return new FailureRecord(consecutive + 1, ejections, ejectedUntilMillis, ejected);
    }

    FailureRecord withSuccess() {
        return new FailureRecord(0, ejections, ejectedUntilMillis, ejected);
    }

    FailureRecord ejectedUntil(long untilMillis) {
        return new FailureRecord(consecutive, ejections + 1, untilMillis, true);
    }

    FailureRecord readmitted() {
        return new FailureRecord(0, ejections, ejectedUntilMillis, false);
    }
}
