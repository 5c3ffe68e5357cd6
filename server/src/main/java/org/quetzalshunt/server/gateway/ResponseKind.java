package org.quetzalshunt.server.gateway;

/** Kind of an endpoint's response, by its status and headers. */
public enum ResponseKind {
    /** A success that the endpoint signed. */
    SUCCESS,
    /** A failure that the endpoint reported; the request ran or may have run. */
    FAILURE,
    /** The endpoint did not run the request, because it is full or leaving. */
    NOT_RUN_FULL,
    /** The request did not run, because another endpoint has this address. */
    NOT_RUN_MOVED,
    /** The response violates the protocol; the request may have run. */
    INVALID
}
