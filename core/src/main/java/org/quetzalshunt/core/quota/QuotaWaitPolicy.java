package org.quetzalshunt.core.quota;

/**
 * How long a request may wait for a token of its account's quota, and when its caller should retry after a rejection.
 *
 * <p>Load pattern: the programs of an account with a small rate start helpers and tools, for example ten requests at
 * once at a rate of eight per second. A running program whose request is rejected too often loses all of its work,
 * while a new program has no work to lose. Requests of running programs therefore wait longer than those that start new
 * programs. Otherwise an account at its rate would start more programs than it can sustain, and all of them would be
 * late or fail.
 */
public final class QuotaWaitPolicy {
    /**
     * Wait for a request that starts a program and may take only a token that is available now. A start that waits
     * reserves a future token; while starts keep arriving, every request of the running programs would then have to
     * wait as long.
     */
    public static final long START_WAIT_MILLIS = 0;

    /** Fraction of its remaining time that a request of a running program may wait. The rest is for its execution. */
    private static final double RUNNING_WAIT_FRACTION = 0.5;

    /**
     * Fraction of its remaining time that the first turn of a program may wait. It is small because an account that is
     * further behind its rate cannot run another program without making its running programs late. It is not zero, so
     * that a momentary shortage does not cost a program.
     */
    private static final double START_WAIT_FRACTION = 0.15;

    /**
     * The same for the most urgent kind of program. It is larger, so that less urgent programs do not start instead.
     */
    private static final double URGENT_START_WAIT_FRACTION = 0.3;

    /**
     * Retry delay for a rejected request of a running program: the time in which its account earns this many tokens.
     */
    private static final double RUNNING_RETRY_TOKENS = 5;

    private static final long MINIMUM_RETRY_MILLIS = 100;
    private static final long MAXIMUM_RUNNING_RETRY_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Callers honour a retry delay only up to this fraction of their remaining time. */
    private static final double MAXIMUM_RETRY_FRACTION = 1 / 3.0;

    /** Smallest retry delay of a rejected program start, as a fraction of the largest one. */
    private static final double MINIMUM_START_RETRY_FRACTION = 0.4;

    private QuotaWaitPolicy() {}

    /**
     * The longest time that a request may wait, in milliseconds.
     *
     * @param beginsProgram whether it is the first turn of a program
     * @param urgent whether its program is of the most urgent kind
     * @param remainingMillis time that its caller has left
     */
    public static long maximumWaitMillis(boolean beginsProgram, boolean urgent, long remainingMillis) {
        if (!beginsProgram) {
            return (long) (RUNNING_WAIT_FRACTION * remainingMillis);
        }
        return (long) ((urgent ? URGENT_START_WAIT_FRACTION : START_WAIT_FRACTION) * remainingMillis);
    }

    /**
     * The delay before the caller of a rejected request should retry, in milliseconds. It is short for a request of a
     * running program, because much work would be lost with that program. It is long for the start of a program: its
     * few attempts then outlast a burst of its account, and the tokens earned meanwhile go to running programs. Starts
     * are spread at random, so that they do not all return at once.
     *
     * @param remainingMillis time that its caller has left
     * @param random random number, uniformly distributed from 0 to 1
     */
    public static long retryAfterMillis(
            boolean beginsProgram, double ratePerSecond, long remainingMillis, double random) {
        if (!beginsProgram) {
            long earnMillis = (long) (RUNNING_RETRY_TOKENS / ratePerSecond * MILLIS_PER_SECOND);
            return Math.min(MAXIMUM_RUNNING_RETRY_MILLIS, MINIMUM_RETRY_MILLIS + earnMillis);
        }
        double maximumMillis = MAXIMUM_RETRY_FRACTION * remainingMillis;
        return Math.max(MINIMUM_RETRY_MILLIS, (long)
                (maximumMillis * (MINIMUM_START_RETRY_FRACTION + (1 - MINIMUM_START_RETRY_FRACTION) * random)));
    }
}
