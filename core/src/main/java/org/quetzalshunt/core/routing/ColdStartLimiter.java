package org.quetzalshunt.core.routing;

/**
 * Limits what this VM sends to one endpoint while that is cold: a token bucket that holds one token.
 *
 * <p>Load pattern: all endpoints of a data centre start at once and look idle to every VM. A cold endpoint crashes under
 * more than a few requests a second from all VMs together. Each VM keeps to its part of that rate; its bucket starts with a
 * random part of a token, so that the VMs do not send their first request at the same moment.
 */
final class ColdStartLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    private long untilMillis = Long.MIN_VALUE / 2;
    private double tokens;
    private long filledMillis;

    /**
     * The endpoint is cold for some more time; 0 means that it is warm.
     *
     * @param firstTokens tokens to begin with if it was warm before, from 0 to 1
     */
    void cold(long nowMillis, long coldMillis, double firstTokens) {
        if (coldMillis <= 0) {
            untilMillis = Long.MIN_VALUE / 2;
            return;
        }
        if (!isCold(nowMillis)) {
            tokens = firstTokens;
            filledMillis = nowMillis;
        }
        untilMillis = nowMillis + coldMillis;
    }

    boolean isCold(long nowMillis) {
        return nowMillis < untilMillis;
    }

    /** Whether the endpoint may be sent a request now. */
    boolean admits(long nowMillis, double requestsPerSecond) {
        return !isCold(nowMillis) || available(nowMillis, requestsPerSecond) >= 1;
    }

    /** A request is sent. */
    void sent(long nowMillis, double requestsPerSecond) {
        if (!isCold(nowMillis) || Double.isInfinite(requestsPerSecond)) {
            return;
        }
        tokens = available(nowMillis, requestsPerSecond) - 1;
        filledMillis = nowMillis;
    }

    private double available(long nowMillis, double requestsPerSecond) {
        if (Double.isInfinite(requestsPerSecond)) {
            return 1;
        }
        return Math.min(1, tokens + (nowMillis - filledMillis) / MILLIS_PER_SECOND * requestsPerSecond);
    }
}
