package org.quetzalshunt.core.decision.endpoint;

import java.util.function.IntToDoubleFunction;

/**
 * Rules for the capacity of the endpoints.
 *
 * @param limit adapts the concurrency limit to the measured speed
 * @param room part of the limit that a request may use
 * @param ejection decides when a failing endpoint is ejected
 * @param initialLimit initial limit, by slots, of an endpoint that is new or has recovered
 */
public record EndpointRules(LimitRule limit, RoomRule room, EjectionRule ejection, IntToDoubleFunction initialLimit) {
    /** The rules used in production. */
    public static EndpointRules adaptive() {
        return new EndpointRules(
                LimitRule.gradient(),
                RoomRule.guarded(),
                EjectionRule.consecutiveFailures(),
                slots -> ServiceEndpoints.SLOW_START_LIMIT);
    }

    /** Rules without limits and ejection, for the plain baselines. */
    public static EndpointRules unlimited() {
        return new EndpointRules(LimitRule.slots(), RoomRule.unlimited(), EjectionRule.never(), slots -> slots);
    }

    /** Returns a copy with another concurrency limit. */
    public EndpointRules withLimit(LimitRule newLimit) {
        return new EndpointRules(newLimit, room, ejection, initialLimit);
    }

    /** Returns a copy with another room rule. */
    public EndpointRules withRoom(RoomRule newRoom) {
        return new EndpointRules(limit, newRoom, ejection, initialLimit);
    }

    /** Returns a copy with another ejection rule. */
    public EndpointRules withEjection(EjectionRule newEjection) {
        return new EndpointRules(limit, room, newEjection, initialLimit);
    }

    /** Returns a copy with another initial limit. */
    public EndpointRules withInitialLimit(IntToDoubleFunction newInitialLimit) {
        return new EndpointRules(limit, room, ejection, newInitialLimit);
    }
}
