package org.quetzalshunt.core.decision.retry;

/**
 * Retries that one service may make, as a share of its requests (as in Finagle's retry budgets).
 *
 * <p>Answers an endpoint, or all of them, failing every request: three attempts each would triple the load at the
 * moment when there is least capacity, and keep it down. With the budget the load grows by a tenth at most.
 */
public final class RetryBudget {
    /** Retries earned by one request. A tenth covers the loss of one endpoint in ten with its requests in flight. */
    static final double EARNED_PER_REQUEST = 0.1;

    /** Retries that a service with few requests may make each second, without which it could never retry at all. */
    static final double EARNED_PER_SECOND = 1;

    /** Most that can be saved: the requests in flight on one endpoint that dies, some slots' worth. */
    static final double LARGEST = 32;

    private double saved = LARGEST;
    private long earnedMillis;

    private RetryBudget() {}

    /** A full budget, so that an entry that just started can retry. */
    public static RetryBudget create() {
        return new RetryBudget();
    }

    /** Counts a request that came for the first time. */
    public void requested() {
        saved = Math.min(LARGEST, saved + EARNED_PER_REQUEST);
    }

    /** Takes one retry; false when none is left. */
    public boolean take(long nowMillis) {
        saved = Math.min(LARGEST, saved + EARNED_PER_SECOND * Math.max(0, nowMillis - earnedMillis) / 1_000);
        earnedMillis = nowMillis;
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }
}
