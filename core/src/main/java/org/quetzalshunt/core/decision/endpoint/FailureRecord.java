package org.quetzalshunt.core.decision.endpoint;

/**
 * Failures of one endpoint.
 *
 * @param consecutive failures since the last whole answer
 * @param ejections ejections since it last stayed well for long
 * @param ejectedUntilMillis when it is tried again; meaningless when not ejected
 * @param ejected whether it gets nothing now
 */
public record FailureRecord(int consecutive, int ejections, long ejectedUntilMillis, boolean ejected) {
    private static final FailureRecord NONE = new FailureRecord(0, 0, 0, false);

    static FailureRecord none() {
        return NONE;
    }

    FailureRecord failedOnce() {
        return new FailureRecord(consecutive + 1, ejections, ejectedUntilMillis, ejected);
    }

    FailureRecord succeeded() {
        return new FailureRecord(0, ejections, ejectedUntilMillis, ejected);
    }

    FailureRecord ejectedUntil(long untilMillis) {
        return new FailureRecord(consecutive, ejections + 1, untilMillis, true);
    }

    FailureRecord returned() {
        return new FailureRecord(0, ejections, ejectedUntilMillis, false);
    }
}
