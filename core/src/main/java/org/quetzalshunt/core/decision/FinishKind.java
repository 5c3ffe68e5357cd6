package org.quetzalshunt.core.decision;

/** How an attempt ended, as far as load decisions care. */
public enum FinishKind {
    /** The answer came whole. */
    OK,
    /** The endpoint died, stalled or answered with an error of its own. */
    ENDPOINT_FAILED,
    /** The caller went away or the deadline passed; says nothing about the endpoint. */
    CANCELLED
}
