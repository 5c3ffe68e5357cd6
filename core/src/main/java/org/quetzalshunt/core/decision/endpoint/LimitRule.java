package org.quetzalshunt.core.decision.endpoint;

/** Adapts the concurrency limit of an endpoint to its measured speed. */
@FunctionalInterface
public interface LimitRule {
    /**
     * Slowdown relative to the unloaded speed that does not lower the limit. Prefill in the same batch slows down the
     * running answers at any load: with 1.0 the limit would fall under any mixture of requests until engines are idle,
     * and with 2.0 a full batch would halve the speed of all answers before the limit reacts.
     */
    double TOLERATED_SLOWDOWN = 1.25;

    /**
     * Requests added to the limit for each window without a slowdown: additive increase as in AIMD. A larger step
     * overshoots the optimum by as much, a smaller one takes minutes to use an engine that became faster.
     */
    double INCREASE = 1;

    /** Lowest factor for one window, so that a single long prompt or slow answer does not halve the limit. */
    double MINIMUM_GRADIENT = 0.8;

    /** Factor after a failure of the endpoint: multiplicative decrease as in AIMD. */
    double FAILURE_FACTOR = 0.5;

    /** Minimum limit; below it an endpoint would not get the requests that show its recovery. */
    double MINIMUM_LIMIT = 2;

    /**
     * Returns the next limit.
     *
     * @param limit current limit in requests
     * @param speed speed per answer over the last window, in tokens per second
     * @param unloadedSpeed speed per answer when the endpoint has few requests
     * @param peakLoad maximum number of requests in flight during the window
     * @param slots number of requests that the endpoint reports it can run
     */
    double next(double limit, double speed, double unloadedSpeed, double peakLoad, int slots);

    /**
     * Increases the limit by a constant while answers keep their speed, and reduces it in proportion to the slowdown
     * otherwise. This is a gradient limit as in Netflix's concurrency-limits, but based on speed per answer instead of
     * round-trip time, since a long answer is no sign of load.
     */
    static LimitRule gradient() {
        return (limit, speed, unloadedSpeed, peakLoad, slots) -> {
            double gradient = TOLERATED_SLOWDOWN * speed / unloadedSpeed;
            if (gradient < 1) {
                return Math.max(MINIMUM_LIMIT, limit * Math.max(MINIMUM_GRADIENT, gradient));
            }
            boolean limitReached = peakLoad >= limit - 1;
            return limitReached ? Math.min(slots, limit + INCREASE) : Math.min(slots, limit);
        };
    }

    /** Uses the reported slots as the limit, regardless of the measured speed. */
    static LimitRule slots() {
        return (limit, speed, unloadedSpeed, peakLoad, slots) -> slots;
    }
}
