package org.quetzalshunt.core.route;

/**
 * Kind of the requests of a route: whether a request may be sent again when the outcome of an attempt is unknown, and
 * whether the response is a stream of events.
 */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once. */
    NON_IDEMPOTENT,
    /** Runs at most once and is answered by a stream of events. */
    STREAM
}
