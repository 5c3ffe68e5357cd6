package org.quetzalshunt.core.quota;

/**
 * How long a request may wait for a token of its account's quota before it is rejected.
 *
 * <p>Load pattern: an account with a small rate whose programs start helpers and tools, ten requests at once where its
 * rate is eight a second. Every request of a program under way that is refused too often loses all that the program has
 * done, while a new program has lost nothing yet: so those under way wait, and new ones make room. Without it an account
 * at its rate begins more programs than it can carry, and all of them are late or fail.
 */
public final class QuotaWaitPolicy {
    /**
     * For the start of a program that takes only a token that is there. One that waits takes a token of the moments to
     * come, and while starts keep coming, every request of the programs under way then waits as long.
     */
    public static final long START_WAIT_MILLIS = 0;

    /** Part of its time that a request of a program under way may wait; the other half is for its run. */
    private static final double UNDER_WAY_PART = 0.5;

    /**
     * The same for the first turn of a program: little, since an account that is this far behind its rate cannot carry one
     * more program without those under way being late; but a moment's shortage should not cost a program.
     */
    private static final double BEGINNING_PART = 0.15;

    /** More for the most urgent kind of program, so that less urgent ones do not begin in its place. */
    private static final double URGENT_BEGINNING_PART = 0.3;

    /** For a refused request of a program under way, in tokens: the time in which its account earns them. */
    private static final double SOON_TOKENS = 5;

    private static final long SOON_LEAST_MILLIS = 100;
    private static final long SOON_MOST_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Callers wait at most for this part of their time. */
    private static final double LATEST_PART = 1 / 3.0;

    /** A refused beginning comes back after this part of that, or later. */
    private static final double EARLIEST = 0.4;

    private QuotaWaitPolicy() {}

    /**
     * The longest wait.
     *
     * @param beginsProgram whether it is the first turn of a program
     * @param urgent whether it is of the most urgent kind
     * @param leftMillis time that its caller has left
     */
    public static long maximumWaitMillis(boolean beginsProgram, boolean urgent, long leftMillis) {
        if (!beginsProgram) {
            return (long) (UNDER_WAY_PART * leftMillis);
        }
        return (long) ((urgent ? URGENT_BEGINNING_PART : BEGINNING_PART) * leftMillis);
    }

    /**
     * When the caller of a refused request should come back, in milliseconds. One of a program under way soon, since much
     * would be lost with it. A beginning late: its few tries then reach over a burst of its account, and the tokens earned
     * meanwhile are for what is under way. Spread, so that refused beginnings do not return as one.
     *
     * @param leftMillis time that its caller has left
     * @param chance anything from 0 to 1, evenly
     */
    public static long retryAfterMillis(boolean beginsProgram, double ratePerSecond, long leftMillis, double chance) {
        if (!beginsProgram) {
            long earned = (long) (SOON_TOKENS / ratePerSecond * MILLIS_PER_SECOND);
            return Math.min(SOON_MOST_MILLIS, SOON_LEAST_MILLIS + earned);
        }
        double latest = LATEST_PART * leftMillis;
        return Math.max(SOON_LEAST_MILLIS, (long) (latest * (EARLIEST + (1 - EARLIEST) * chance)));
    }
}
