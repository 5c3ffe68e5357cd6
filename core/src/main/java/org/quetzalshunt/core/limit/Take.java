package org.quetzalshunt.core.limit;

/** Answer to a request for one token. */
public sealed interface Take {
    /**
     * The token is the request's.
     *
     * @param moment names the token, should it be given back
     */
    record Taken(long moment) implements Take {}

    /**
     * Tokens are being fetched; the outcome follows by the callback, once, unless it is cancelled.
     *
     * @param handle names the waiting request for {@link FleetLimits#cancel}
     */
    record Waiting(long handle) implements Take {}

    /**
     * No token in time.
     *
     * @param retryAfterMillis when one may be there, in milliseconds
     */
    record Refused(long retryAfterMillis) implements Take {}
}
