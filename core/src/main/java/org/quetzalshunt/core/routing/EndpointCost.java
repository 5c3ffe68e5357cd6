package org.quetzalshunt.core.routing;

import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/**
 * Estimates the cost of a request at an endpoint in milliseconds: the time until its answer is complete plus the delay
 * that it causes to the requests already running there.
 *
 * <p>Load patterns: a burst, which must fill all endpoints before any of them queues; a slow or failing endpoint, which
 * must not attract work by being empty or by failing fast; programs with long prompts that are mostly in an engine's
 * cache. A prompt that is computed again on another engine stalls all answers that this engine is generating.
 */
final class EndpointCost {
    /** Added latency per request while slots are free, as a fraction: a batch step grows by about 3% per request. */
    private static final double SLOWDOWN_PER_REQUEST = 0.03;

    /** A round trip to another data centre takes a millisecond; the rest accounts for the price of the traffic. */
    private static final double CROSS_DATA_CENTRE_COST_MILLIS = 8;

    private static final double FULL_COST_MILLIS = 500;
    private static final double EJECTED_COST_MILLIS = 10_000;

    /**
     * Penalty below which an endpoint is healthy. One or two failures stay below it; a full or an ejected endpoint does
     * not.
     */
    private static final double HEALTHY_PENALTY_MILLIS = 200;

    /**
     * Cost of a failure to the request's program: the caller's back-off and the repeated work. The cost is quadratic in
     * the failure rate, so that isolated failures barely matter and a failing endpoint is used only once the others
     * queue.
     */
    private static final double FAILURE_COST_MILLIS = 1_500;

    private final String dataCentre;
    private final Policy policy;

    EndpointCost(String dataCentre, Policy policy) {
        this.dataCentre = dataCentre;
        this.policy = policy;
    }

    /**
     * Returns the cost of a request.
     *
     * @param uncachedTokens tokens of the prompt that are not in the endpoint's cache
     */
    double millis(long nowMillis, EndpointRow row, EngineSpeed speed, long uncachedTokens) {
        int load = row.inFlight + row.peersInFlight;
        double cost = requestMillis(row, speed, load) + penaltyMillis(nowMillis, row);
        if (!row.registration.dataCentre().equals(dataCentre)) {
            cost += CROSS_DATA_CENTRE_COST_MILLIS;
        }
        if (policy.isEnabled(Mechanism.PREFILL_BACKLOG)) {
            cost += speed.prefillMillis(row.prefillBacklogTokens + row.peersPrefillBacklogTokens);
        }
        // Prefill stalls the whole batch of the engine, so every running request is delayed by it.
        return cost + speed.prefillMillis(uncachedTokens) * (2 + load);
    }

    /**
     * Returns the cost of a request by its expected completion time, with the failures of the endpoint and the price of
     * the traffic.
     */
    double millis(long nowMillis, EndpointRow row, double completionMillis) {
        boolean local = row.registration.dataCentre().equals(dataCentre);
        return completionMillis + penaltyMillis(nowMillis, row) + (local ? 0 : CROSS_DATA_CENTRE_COST_MILLIS);
    }

    /** Whether an endpoint is neither full nor ejected, and its failure rate is low. */
    boolean isHealthy(long nowMillis, EndpointRow row) {
        return penaltyMillis(nowMillis, row) < HEALTHY_PENALTY_MILLIS;
    }

    private double requestMillis(EndpointRow row, EngineSpeed speed, int load) {
        int slots = Math.max(1, row.registration.slots());
        double unloadedMillis = policy.isEnabled(Mechanism.TOKEN_RATE) && row.hasTokenTime()
                ? row.millisPerToken() * speed.tokensPerAnswer()
                : row.latencyMillis;
        double cost = unloadedMillis * (1 + SLOWDOWN_PER_REQUEST * Math.min(load, slots));
        if (load >= slots) {
            cost += unloadedMillis * (load - slots + 1) / slots;
        }
        return cost;
    }

    private static double penaltyMillis(long nowMillis, EndpointRow row) {
        double cost = 0;
        if (row.fullUntilMillis > nowMillis) {
            cost += FULL_COST_MILLIS;
        }
        if (row.ejectedUntilMillis > nowMillis) {
            cost += EJECTED_COST_MILLIS;
        }
        double failureRate = row.failureRate(nowMillis);
        return cost + FAILURE_COST_MILLIS * failureRate * failureRate;
    }
}
