package org.quetzalshunt.core.routing;

/**
 * Limits the rate of requests from this VM to one cold endpoint: a token bucket that holds one token.
 *
 * <p>Load pattern: all endpoints of a data centre start at once and look idle to every VM. A cold endpoint crashes if
 * all VMs together send it more than a few requests per second, so each VM keeps to its part of that rate. Buckets
 * start with a random fraction of a token so that the VMs do not send their first requests at the same moment.
 */
final class ColdStartLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private long coldUntilMillis = Long.MIN_VALUE / 2;
    private double tokens;
    private long refilledMillis;

    /**
     * Sets how much longer the endpoint is cold.
     *
     * @param coldMillis remaining time, or 0 for an endpoint that is warm
     * @param initialTokens initial tokens if the endpoint was warm before, from 0 to 1
     */
    void setColdTime(long nowMillis, long coldMillis, double initialTokens) {
        if (coldMillis <= 0) {
            coldUntilMillis = Long.MIN_VALUE / 2;
            return;
        }
        if (!isCold(nowMillis)) {
            tokens = initialTokens;
            refilledMillis = nowMillis;
        }
        coldUntilMillis = nowMillis + coldMillis;
    }

    boolean isCold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    boolean admits(long nowMillis, double requestsPerSecond) {
        return !isCold(nowMillis) || availableTokens(nowMillis, requestsPerSecond) >= 1;
    }

    /** Counts a request that was sent to the endpoint. */
    void recordSent(long nowMillis, double requestsPerSecond) {
        if (!isCold(nowMillis) || Double.isInfinite(requestsPerSecond)) {
            return;
        }
        tokens = availableTokens(nowMillis, requestsPerSecond) - 1;
        refilledMillis = nowMillis;
    }

    private double availableTokens(long nowMillis, double requestsPerSecond) {
        if (Double.isInfinite(requestsPerSecond)) {
            return 1;
        }
        return Math.min(1, tokens + (nowMillis - refilledMillis) / MILLIS_PER_SECOND * requestsPerSecond);
    }
}
