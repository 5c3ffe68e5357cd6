package org.quetzalshunt.core.decision;

/**
 * The last state that an endpoint reported.
 *
 * @param name name, unique across all services
 * @param service service that it serves
 * @param dataCentre data centre that it runs in
 * @param slots number of requests that it runs concurrently; zero or less if it does not report it
 * @param running requests running, from all entries
 * @param waiting requests in the queue of the endpoint itself, from all entries
 * @param tokensPerSecond output tokens delivered in its last second; zero if it does not report it
 * @param asOfMillis time of the report on the clock of the receiving entry
 * @param leaving whether it accepts no new work because its VM is shutting down
 * @param healthy whether its sidecar can reach it
 */
public record EndpointState(
        String name,
        String service,
        String dataCentre,
        int slots,
        int running,
        int waiting,
        long tokensPerSecond,
        long asOfMillis,
        boolean leaving,
        boolean healthy) {}
