package org.quetzalshunt.core.quota;

/**
 * A token bucket for a VM's share of an account's rate and burst. It starts empty, so that a restart does not grant a
 * burst. A larger share adds no tokens; a smaller share discards the tokens above the new capacity.
 */
public final class TokenBucket {
    private static final double MILLIS_PER_SECOND = 1_000;

    private double tokens;
    private double ratePerSecond;
    private double capacity;
    private long refilledMillis;

    private TokenBucket(long nowMillis) {
        this.refilledMillis = nowMillis;
    }

    /** Creates an empty bucket. */
    public static TokenBucket create(long nowMillis) {
        return new TokenBucket(nowMillis);
    }

    /** Sets the rate and the capacity. */
    public void setLimits(long nowMillis, double newRatePerSecond, double newCapacity) {
        refill(nowMillis);
        ratePerSecond = newRatePerSecond;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Takes a token if one is available. */
    public boolean take(long nowMillis) {
        refill(nowMillis);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Takes a token, possibly one that has yet to be earned. Without such reservations, a few simultaneous calls beyond
     * the burst would be refused, which costs their callers more than the short wait.
     *
     * @param maximumWaitMillis longest acceptable wait, in milliseconds; if the token takes longer, none is taken
     */
    public TokenOffer reserve(long nowMillis, long maximumWaitMillis) {
        refill(nowMillis);
        if (tokens >= 1) {
            tokens -= 1;
            return TokenOffer.taken(0);
        }
        if (ratePerSecond <= 0) {
            return TokenOffer.NONE;
        }
        long wait = (long) Math.ceil((1 - tokens) / ratePerSecond * MILLIS_PER_SECOND);
        if (wait > maximumWaitMillis) {
            return TokenOffer.unavailableFor(wait);
        }
        tokens -= 1;
        return TokenOffer.taken(wait);
    }

    /** Returns a token that was taken and not used. */
    public void giveBack(long nowMillis) {
        refill(nowMillis);
        tokens = Math.min(capacity, tokens + 1);
    }

    /** The time until a token is available, in milliseconds; 0 if there is one now. */
    public long waitMillis(long nowMillis) {
        refill(nowMillis);
        if (tokens >= 1) {
            return 0;
        }
        return ratePerSecond <= 0
                ? TokenOffer.NEVER
                : (long) Math.ceil((1 - tokens) / ratePerSecond * MILLIS_PER_SECOND);
    }

    /** Number of tokens available; negative while some are reserved that have yet to be earned. */
    public double tokens(long nowMillis) {
        refill(nowMillis);
        return tokens;
    }

    /** Number of tokens earned per second. */
    public double ratePerSecond() {
        return ratePerSecond;
    }

    /** Largest number of tokens held. */
    public double capacity() {
        return capacity;
    }

    private void refill(long nowMillis) {
        long elapsed = Math.max(0, nowMillis - refilledMillis);
        refilledMillis = nowMillis;
        tokens = Math.min(capacity, tokens + ratePerSecond * elapsed / MILLIS_PER_SECOND);
    }
}
