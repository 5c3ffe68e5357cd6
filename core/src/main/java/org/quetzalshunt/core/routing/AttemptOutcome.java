package org.quetzalshunt.core.routing;

/** How an attempt at an endpoint ended, as far as the choice of endpoints is concerned. */
public enum AttemptOutcome {
    /** It answered. */
    ANSWERED,
    /** It answered with a failure of its own, or took far longer than a sound one. */
    ERRORED,
    /** It said that it is full. */
    FULL,
    /** It could not be reached, broke off, or answered wrongly. */
    FAILED,
    /** Ended for a reason unrelated to the endpoint, such as a caller that left. */
    NEUTRAL;

    /**
     * The time of an attempt is over. Before its answer began, the endpoint was noted as silent already where it took
     * longer than a sound one, and a short time limit says nothing of it; after that, it stopped midway.
     */
    public static AttemptOutcome ofLate(boolean onFirstEvent) {
        return onFirstEvent ? ERRORED : NEUTRAL;
    }
}
