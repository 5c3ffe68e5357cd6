package org.quetzalshunt.core.quota;

/**
 * A token bucket whose rate and room are a part of an account's. Starts empty, so that a restart earns no burst; a part
 * that grows brings no tokens, one that shrinks loses what no longer fits.
 */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private double level;
    private double ratePerSecond;
    private double capacity;
    private long filledMillis;

    private TokenBucket(long nowMillis) {
        this.filledMillis = nowMillis;
    }

    /** An empty bucket. */
    public static TokenBucket create(long nowMillis) {
        return new TokenBucket(nowMillis);
    }

    /** Puts another rate and room in force. */
    public void limit(long nowMillis, double newRatePerSecond, double newCapacity) {
        fill(nowMillis);
        ratePerSecond = newRatePerSecond;
        capacity = newCapacity;
        level = Math.min(level, capacity);
    }

    /** Takes a token, if there is one. */
    public boolean take(long nowMillis) {
        fill(nowMillis);
        if (level < 1) {
            return false;
        }
        level -= 1;
        return true;
    }

    /**
     * Takes a token that may still have to be earned. Answers a handful of calls that come at once beyond the burst:
     * spread over a moment they fit, while a refusal costs their caller more than the wait.
     *
     * @param mostMillis longest wait, in milliseconds; beyond it nothing is taken
     */
    public TokenOffer reserve(long nowMillis, long mostMillis) {
        fill(nowMillis);
        if (level >= 1) {
            level -= 1;
            return TokenOffer.taken(0);
        }
        if (ratePerSecond <= 0) {
            return TokenOffer.NONE;
        }
        long wait = (long) Math.ceil((1 - level) / ratePerSecond * MILLIS_PER_SECOND);
        if (wait > mostMillis) {
            return TokenOffer.unavailableFor(wait);
        }
        level -= 1;
        return TokenOffer.taken(wait);
    }

    private void fill(long nowMillis) {
        long elapsed = Math.max(0, nowMillis - filledMillis);
        filledMillis = nowMillis;
        level = Math.min(capacity, level + ratePerSecond * elapsed / MILLIS_PER_SECOND);
    }
}
