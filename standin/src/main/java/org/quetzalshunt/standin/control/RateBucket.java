package org.quetzalshunt.standin.control;

/** Token bucket that limits the rate of requests, with a clock in milliseconds. */
public final class RateBucket {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long lastMillis;

    private RateBucket(double perSecond, double burst, long nowMillis) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.lastMillis = nowMillis;
    }

    /** Creates a full bucket. */
    public static RateBucket full(double perSecond, double burst, long nowMillis) {
        return new RateBucket(perSecond, burst, nowMillis);
    }

    /** Takes one token; false if none is available. */
    public boolean take(long nowMillis) {
        double refilled = tokens + (nowMillis - lastMillis) * perSecond / MILLIS_PER_SECOND;
        tokens = Math.min(burst, refilled);
        lastMillis = nowMillis;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
