package org.quetzalshunt.app.bench.limits;

/** Token bucket without distribution over entries. */
final class TokenBucket {
    private final double tokensPerMilli;
    private final double burst;
    private double level;
    private long updatedMillis;

    TokenBucket(double tokensPerSecond, double burst, double level) {
        this.tokensPerMilli = tokensPerSecond / 1_000;
        this.burst = burst;
        this.level = level;
    }

    boolean tryTake(long nowMillis) {
        refill(nowMillis);
        if (level < 1) {
            return false;
        }
        level -= 1;
        return true;
    }

    /** Subtracts tokens regardless of the level, and returns the new level, which may be negative. */
    double takeUnconditionally(long nowMillis, double tokens) {
        refill(nowMillis);
        level -= tokens;
        return level;
    }

    private void refill(long nowMillis) {
        level = Math.min(burst, level + (nowMillis - updatedMillis) * tokensPerMilli);
        updatedMillis = nowMillis;
    }
}
