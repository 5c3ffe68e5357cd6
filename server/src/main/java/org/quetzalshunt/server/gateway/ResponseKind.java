package org.quetzalshunt.server.gateway;

/** Kind of an endpoint's response, by its status and headers. */
public enum ResponseKind {
    /** A success that is signed by the endpoint. */
    SUCCESS,
    /** A failure of the endpoint's own; the request ran or may have run. */
    FAILURE,
    /** The request did not run there, because the endpoint is full or leaving. */
    NOT_RUN_FULL,
    /** The request did not run there, because another endpoint has the address. */
    NOT_RUN_MOVED,
    /** No answer in the protocol; the request may have run. */
    INVALID
}
