package org.quetzalshunt.core.decision;

/** How an attempt ended, as input to load decisions. */
public enum FinishKind {
    /** The answer was complete. */
    OK,
    /** The endpoint crashed, stalled or returned an error of its own. */
    ENDPOINT_FAILED,
    /** The caller disconnected or the deadline passed; this says nothing about the endpoint. */
    CANCELLED
}
