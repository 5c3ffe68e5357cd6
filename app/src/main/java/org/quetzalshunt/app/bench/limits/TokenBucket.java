package org.quetzalshunt.app.bench.limits;

/** A plain token bucket in one place. */
final class TokenBucket {
    private final double perMilli;
    private final double burst;
    private double level;
    private long updatedMillis;

    TokenBucket(double perSecond, double burst, double level) {
        this.perMilli = perSecond / 1_000;
        this.burst = burst;
        this.level = level;
    }

    boolean tryTake(long nowMillis) {
        earn(nowMillis);
        if (level < 1) {
            return false;
        }
        level -= 1;
        return true;
    }

    /** Takes even what is not there, and returns the level, which may be below zero. */
    double take(long nowMillis, double tokens) {
        earn(nowMillis);
        level -= tokens;
        return level;
    }

    private void earn(long nowMillis) {
        level = Math.min(burst, level + (nowMillis - updatedMillis) * perMilli);
        updatedMillis = nowMillis;
    }
}
