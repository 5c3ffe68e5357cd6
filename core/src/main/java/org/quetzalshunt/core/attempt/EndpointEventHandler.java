package org.quetzalshunt.core.attempt;

/** Applies an endpoint event to a running attempt. Implementations differ by the kind of service. */
@FunctionalInterface
interface EndpointEventHandler {
    void apply(AttemptRecord record, EndpointEvent event, long nowMillis);
}
