package org.quetzalshunt.core.quota;

/**
 * Answer of a VM that holds a share to a request for a token.
 *
 * @param taken whether the requester got the token
 * @param waitMillis how long the request must wait before it runs. If no token was taken, the time until the holder
 *     would have one, or {@link #NEVER} if it holds no share.
 * @param decidesStart whether the holder decided on the start of a whole program, and not only on one token
 */
public record TokenOffer(boolean taken, long waitMillis, boolean decidesStart) {
    /** Longer than any request waits. */
    public static final long NEVER = Long.MAX_VALUE;

    /** No token now or later: the VM holds no share, or it did not answer. */
    public static final TokenOffer NONE = new TokenOffer(false, NEVER, false);

    /** The request does not start its program, which is running; it needs a single token. */
    public static final TokenOffer RUNNING = new TokenOffer(false, 0, true);

    /** A token that may be used after a wait. */
    public static TokenOffer taken(long waitMillis) {
        return new TokenOffer(true, waitMillis, false);
    }

    /** No token within the maximum wait of the request, but one after this longer wait. */
    public static TokenOffer unavailableFor(long waitMillis) {
        return new TokenOffer(false, waitMillis, false);
    }

    /** The tokens of a program that may start now. */
    public static TokenOffer started() {
        return new TokenOffer(true, 0, true);
    }

    /** The quota does not cover a program now, but is expected to after this time. */
    public static TokenOffer startAfter(long waitMillis) {
        return new TokenOffer(false, waitMillis, true);
    }
}
