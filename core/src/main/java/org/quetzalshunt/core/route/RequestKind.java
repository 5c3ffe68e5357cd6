package org.quetzalshunt.core.route;

/** What may be repeated after an unknown outcome. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once for each request of a caller. */
    NON_IDEMPOTENT,
    /** Runs at most once, and its answer is a series of events. */
    STREAM
}
