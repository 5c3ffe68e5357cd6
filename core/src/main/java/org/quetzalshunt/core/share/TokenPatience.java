package org.quetzalshunt.core.share;

/**
 * How long a request may wait for a token of its account's rate, before it hears that the account is over it.
 *
 * <p>Load pattern: an account with a small rate whose programs start helpers and tools, ten requests at once where its
 * rate is eight a second. Every request of a program under way that is refused too often loses all that the program has
 * done, while a new program has lost nothing yet: so those under way wait, and new ones make room. Without it an account
 * at its rate begins more programs than it can carry, and all of them are late or fail.
 */
public final class TokenPatience {
    /**
     * Part of its time that a request of a program under way may wait; the other half is for its run. With a quarter, 38
     * of 190 urgent programs of a quiet day of 80 small accounts were refused, with half 27 of 192.
     */
    private static final double UNDER_WAY_PART = 0.5;

    /**
     * The same for the first turn of a program of the most urgent kind: little, since an account that is this far behind
     * its rate cannot carry one more program without those under way being late.
     */
    private static final double URGENT_BEGINNING_PART = 0.15;

    private TokenPatience() {}

    /**
     * The longest wait.
     *
     * @param beginsProgram whether it is the first turn of a program
     * @param mostUrgent whether it is of the most urgent kind
     * @param leftMillis time that its caller has left
     */
    public static long mostWaitMillis(boolean beginsProgram, boolean mostUrgent, long leftMillis) {
        if (!beginsProgram) {
            return (long) (UNDER_WAY_PART * leftMillis);
        }
        return mostUrgent ? (long) (URGENT_BEGINNING_PART * leftMillis) : 0;
    }
}
