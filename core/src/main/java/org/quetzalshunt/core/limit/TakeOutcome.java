package org.quetzalshunt.core.limit;

/** What became of a request that waited for a token. */
public sealed interface TakeOutcome {
    /**
     * The token came and is the request's.
     *
     * @param moment names the token, should it be given back
     */
    record Taken(long moment) implements TakeOutcome {}

    /**
     * No token came in time.
     *
     * @param retryAfterMillis when one may be there, in milliseconds
     */
    record Refused(long retryAfterMillis) implements TakeOutcome {}
}
