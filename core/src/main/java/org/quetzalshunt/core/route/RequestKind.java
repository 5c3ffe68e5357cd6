package org.quetzalshunt.core.route;

/** Determines whether a request may be sent again when the outcome of an attempt is unknown. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once per request of a caller. */
    NON_IDEMPOTENT,
    /** Runs at most once and is answered by a stream of events. */
    STREAM
}
