package org.quetzalshunt.core.routing;

/** How an attempt at an endpoint ended, as input to endpoint selection. */
public enum AttemptOutcome {
    /** The endpoint answered. */
    ANSWERED,
    /** The endpoint returned an error of its own, or took far longer than a healthy endpoint. */
    ERRORED,
    /** The endpoint rejected the request because it is at capacity. */
    FULL,
    /** The endpoint was unreachable, closed the connection early or sent an invalid response. */
    FAILED,
    /** The attempt ended for a reason unrelated to the endpoint, such as a caller that disconnected. */
    NEUTRAL;

    /**
     * Returns the outcome of an attempt that ran into its time limit. An endpoint that stalls after the first event has
     * failed. Before the first event the outcome is neutral: an endpoint that is slower than a healthy one has already
     * been marked as unresponsive, and a short time limit by itself says nothing about the endpoint.
     *
     * @param firstEventSeen whether the endpoint had sent the first event of its answer
     */
    public static AttemptOutcome ofTimeout(boolean firstEventSeen) {
        return firstEventSeen ? ERRORED : NEUTRAL;
    }
}
