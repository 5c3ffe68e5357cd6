package org.quetzalshunt.core.quota;

/**
 * Answer of a lease holder to a request for a token.
 *
 * @param taken whether the token is the asker's
 * @param waitMillis how long the request must wait before it runs; of a token that was not taken, how long it would have
 *     to, {@link #NEVER} where the holder has none
 */
public record TokenOffer(boolean taken, long waitMillis) {
    /** Longer than any request waits. */
    public static final long NEVER = Long.MAX_VALUE;

    /** No token, and no prospect of one: nothing is held, or the holder did not answer. */
    public static final TokenOffer NONE = new TokenOffer(false, NEVER);

    /** A token to be used after a wait. */
    public static TokenOffer taken(long waitMillis) {
        return new TokenOffer(true, waitMillis);
    }

    /** No token within the wait that was asked for, but after this one. */
    public static TokenOffer unavailableFor(long waitMillis) {
        return new TokenOffer(false, waitMillis);
    }
}
