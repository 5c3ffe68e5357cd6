package org.quetzalshunt.core.limit;

/** Final outcome of a request that waited for a token. */
public sealed interface TakeOutcome {
    /**
     * The request got a token.
     *
     * @param takeSequence sequence number of the take, by which the token can be returned
     */
    record Taken(long takeSequence) implements TakeOutcome {}

    /**
     * No token became available in time.
     *
     * @param retryAfterMillis when one may be available, in milliseconds
     */
    record Refused(long retryAfterMillis) implements TakeOutcome {}
}
