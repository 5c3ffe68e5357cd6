package org.quetzalshunt.core.limit;

/** Immediate result of a request for one token. */
public sealed interface Take {
    /**
     * The request got a token.
     *
     * @param takeSequence sequence number of the take, by which the token can be returned
     */
    record Taken(long takeSequence) implements Take {}

    /**
     * The request waits while tokens are being fetched. The callback receives the outcome once, unless the wait is
     * cancelled.
     *
     * @param handle identifies the waiting request for {@link FleetLimits#cancel}
     */
    record Waiting(long handle) implements Take {}

    /**
     * No token will be available in time.
     *
     * @param retryAfterMillis when one may be available, in milliseconds
     */
    record Refused(long retryAfterMillis) implements Take {}
}
