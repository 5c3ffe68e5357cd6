package org.quetzalshunt.core.routing;

import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/**
 * What a request costs at an endpoint, in milliseconds: until it ends there, and by how much it delays what runs there.
 *
 * <p>Load patterns: a burst, which must fill all endpoints before any queues; an endpoint that is slow or failing, which
 * must not attract work by looking empty or by failing fast; programs with long prompts, of which an engine holds most in
 * memory: read again elsewhere, each holds up every answer that the engine generates meanwhile.
 */
final class EndpointCost {
    /** What one request more costs below the slots, as part of a latency: a batch step grows by about 3% a request. */
    private static final double CROWDING = 0.03;

    /** Both ways to another data centre take a millisecond; the rest stands for the price of the octets. */
    private static final double OTHER_DATA_CENTRE_MILLIS = 8;

    private static final double FULL_COST_MILLIS = 500;
    private static final double EJECTED_COST_MILLIS = 10_000;

    /** An endpoint that failed once or twice is sound; one that said it is full, or was ejected, is not. */
    private static final double SOUND_MILLIS = 200;

    /**
     * Cost of a failure to its program: the caller's pause and the repeated work. Quadratic in the failure rate: isolated
     * failures barely matter, and a failing endpoint is used only once the others queue.
     */
    private static final double FAILURE_COST_MILLIS = 1_500;

    private final String dataCentre;
    private final Policy policy;

    EndpointCost(String dataCentre, Policy policy) {
        this.dataCentre = dataCentre;
        this.policy = policy;
    }

    /**
     * The cost of a run.
     *
     * @param uncachedTokens tokens of the prompt that the endpoint would have to read
     */
    double millis(long nowMillis, EndpointRow row, EngineSpeed speed, long uncachedTokens) {
        int load = row.inFlight + row.peersInFlight;
        double cost = runMillis(row, speed, load) + penaltyMillis(nowMillis, row);
        if (!row.registration.dataCentre().equals(dataCentre)) {
            cost += OTHER_DATA_CENTRE_MILLIS;
        }
        if (policy.has(Mechanism.PREFILL_BACKLOG)) {
            cost += speed.readMillis(row.prefillBacklogTokens + row.peersPrefillBacklogTokens);
        }
        // Prefill stalls the whole batch of the engine.
        return cost + speed.readMillis(uncachedTokens) * (2 + load);
    }

    /** Whether an endpoint has neither been full nor failed lately, so far that it matters. */
    boolean isSound(long nowMillis, EndpointRow row) {
        return penaltyMillis(nowMillis, row) < SOUND_MILLIS;
    }

    private double runMillis(EndpointRow row, EngineSpeed speed, int load) {
        int slots = Math.max(1, row.registration.slots());
        double alone = policy.has(Mechanism.TOKEN_RATE) && row.generates()
                ? row.millisPerToken() * speed.tokensPerRun()
                : row.latencyMillis;
        double cost = alone * (1 + CROWDING * Math.min(load, slots));
        if (load >= slots) {
            cost += alone * (load - slots + 1) / slots;
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
