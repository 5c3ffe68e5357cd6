package org.quetzalshunt.core.decision.retry;

/**
 * Limits the retries of one service to a share of its requests, as in Finagle's retry budgets.
 *
 * <p>When one or all endpoints fail every request, three attempts for each would triple the load while capacity is
 * lowest, and would prevent the recovery. With the budget, retries add at most a tenth to the load, apart from one
 * retry per second and the initial balance.
 */
public final class RetryBudget {
    /** Budget added per request. A tenth covers the loss of one endpoint in ten with its requests in flight. */
    static final double EARNED_PER_REQUEST = 0.1;

    /** Budget added per second, without which a service with few requests could never retry at all. */
    static final double EARNED_PER_SECOND = 1;

    /** Maximum budget, about the number of requests in flight at one endpoint, which all fail if it crashes. */
    static final double MAXIMUM_BALANCE = 32;

    private double balance = MAXIMUM_BALANCE;
    private long lastEarnedMillis;

    private RetryBudget() {}

    /** Creates a full budget, so that an entry that just started can retry. */
    public static RetryBudget create() {
        return new RetryBudget();
    }

    /** Adds to the budget for a request that arrived for the first time. */
    public void recordRequest() {
        balance = Math.min(MAXIMUM_BALANCE, balance + EARNED_PER_REQUEST);
    }

    /** Takes one retry from the budget; false when it is used up. */
    public boolean tryTake(long nowMillis) {
        balance = Math.min(
                MAXIMUM_BALANCE, balance + EARNED_PER_SECOND * Math.max(0, nowMillis - lastEarnedMillis) / 1_000);
        lastEarnedMillis = nowMillis;
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
