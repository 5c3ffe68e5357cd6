package org.quetzalshunt.core.decision;

/**
 * What an endpoint said of itself, some time ago.
 *
 * @param name unique over all services
 * @param service service that it serves
 * @param dataCentre where it is
 * @param slots requests that it runs at once; zero or less when it does not say
 * @param running requests that it ran, from all entries
 * @param waiting requests that waited inside it, from all entries
 * @param tokensPerSecond output tokens it delivered in its last second; zero when it does not say
 * @param asOfMillis when that was, on the clock of the receiving entry
 * @param leaving whether it takes no new work because its VM goes
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
