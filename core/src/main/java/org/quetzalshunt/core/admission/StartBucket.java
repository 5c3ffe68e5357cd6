package org.quetzalshunt.core.admission;

/**
 * The second token bucket of a quota share. A first turn takes the tokens of its whole program from it, so programs
 * start at the rate of the share divided by the requests of a program.
 *
 * <p>A program may need more tokens than the share's burst. Its start is covered by as many tokens as the burst, and the
 * level is negative until the missing ones are earned.
 */
final class StartBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * The bucket holds the burst of the share and what it earns in this time, since a program takes its tokens over a
     * second or more. With the burst alone, an account at half its quota has starts refused whenever three programs
     * arrive at once.
     */
    private static final double HEADROOM_SECONDS = 1;

    /** Part of the rate on which an estimate relies however much more urgent programs take. */
    private static final double MINIMUM_RATE_PART = 0.1;

    private double level;
    private double ratePerSecond;
    private double capacity;
    private double burst;
    private long refilledMillis;

    /** Creates a bucket with an initial level. */
    StartBucket(long nowMillis, double level) {
        this.level = level;
        this.refilledMillis = nowMillis;
    }

    /** Applies the rate and burst of the share, after refilling the bucket with the former ones. */
    void update(long nowMillis, double newRatePerSecond, double newBurst) {
        double earned = ratePerSecond * Math.max(0, nowMillis - refilledMillis) / MILLIS_PER_SECOND;
        refilledMillis = nowMillis;
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        capacity = newBurst + HEADROOM_SECONDS * newRatePerSecond;
        level = Math.min(capacity, level + earned);
    }

    /** Takes the tokens of a request or a program; the debt is bounded by one bucket and one program. */
    void take(double tokens) {
        level = Math.max(level - tokens, -capacity - tokens);
    }

    /** Returns tokens that were taken for a program that does not run. */
    void giveBack(double tokens) {
        level = Math.min(capacity, level + tokens);
    }

    double level() {
        return level;
    }

    /**
     * The time until the bucket covers a program, in milliseconds; 0 if it does now.
     *
     * @param tokens tokens that the program needs
     * @param keptTokens tokens that are kept for other programs
     * @param otherRatePerSecond rate at which more urgent programs take tokens meanwhile
     */
    long waitMillis(double tokens, double keptTokens, double otherRatePerSecond) {
        double needed = Math.min(tokens, burst) + keptTokens;
        if (level >= Math.min(needed, capacity)) {
            return 0;
        }
        if (ratePerSecond <= 0) {
            return Long.MAX_VALUE;
        }
        double rate = Math.max(ratePerSecond - otherRatePerSecond, MINIMUM_RATE_PART * ratePerSecond);
        return (long) Math.ceil((needed - level) / rate * MILLIS_PER_SECOND);
    }
}
