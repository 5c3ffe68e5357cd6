package org.quetzalshunt.core.decision.endpoint;

import java.util.function.IntToDoubleFunction;

/**
 * Rules that keep an endpoint's room.
 *
 * @param limit how the concurrency limit follows what the endpoint delivers
 * @param room part of the limit that a request may use
 * @param ejection when a failing endpoint is left alone
 * @param returnLimit limit of an endpoint that is new or comes back, by its slots
 */
public record EndpointRules(LimitRule limit, RoomRule room, EjectionRule ejection, IntToDoubleFunction returnLimit) {
    /** The rules in force. */
    public static EndpointRules adaptive() {
        return new EndpointRules(
                LimitRule.gradient(),
                RoomRule.guarded(),
                EjectionRule.consecutiveFailures(),
                slots -> ServiceEndpoints.SLOW_START_LIMIT);
    }

    /** No limits and no ejection, as the plain baselines have it. */
    public static EndpointRules unlimited() {
        return new EndpointRules(LimitRule.slots(), RoomRule.unlimited(), EjectionRule.never(), slots -> slots);
    }

    /** The same with another concurrency limit. */
    public EndpointRules withLimit(LimitRule newLimit) {
        return new EndpointRules(newLimit, room, ejection, returnLimit);
    }

    /** The same with another room. */
    public EndpointRules withRoom(RoomRule newRoom) {
        return new EndpointRules(limit, newRoom, ejection, returnLimit);
    }

    /** The same with another ejection. */
    public EndpointRules withEjection(EjectionRule newEjection) {
        return new EndpointRules(limit, room, newEjection, returnLimit);
    }

    /** The same with another limit after a return. */
    public EndpointRules withReturnLimit(IntToDoubleFunction newReturnLimit) {
        return new EndpointRules(limit, room, ejection, newReturnLimit);
    }
}
