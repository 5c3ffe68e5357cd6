package org.quetzalshunt.core.attempt;

/** What an event of the endpoint means for an attempt that still runs; differs by the kind of service. */
@FunctionalInterface
interface RunRules {
    void apply(AttemptRecord record, EndpointEvent event, long nowMillis);
}
