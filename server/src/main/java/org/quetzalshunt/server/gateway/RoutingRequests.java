package org.quetzalshunt.server.gateway;

import java.util.Set;
import org.quetzalshunt.core.route.EngineCapacity;
import org.quetzalshunt.core.routing.EndpointLimits;
import org.quetzalshunt.core.routing.RoutingOptions;
import org.quetzalshunt.core.routing.RoutingRequest;

/** Derives what determines the endpoint of a request from its service, its route and the number of live VMs. */
final class RoutingRequests {
    /**
     * Share of the request rate of a cold endpoint that all VMs together use. The rest is a margin, since VMs may
     * disagree on the number of live VMs.
     */
    private static final double COLD_RATE_SHARE = 0.5;

    private RoutingRequests() {}

    /**
     * Creates the routing request of a request.
     *
     * @param excluded ids of endpoints that it was already sent to
     */
    static RoutingRequest of(Gateway gateway, AdmittedRequest admitted, Set<String> excluded, RequestMemory memory) {
        int liveVms = Math.max(1, gateway.quotas().liveVms());
        int maximumInFlight = Math.max(2, admitted.service().maximumConnections() / liveVms);
        long cacheTokens = admitted.service()
                .engine()
                .map(EngineCapacity::cacheTokens)
                .filter(tokens -> tokens > 0)
                .orElse(Long.MAX_VALUE);
        double coldRequestsPerSecond = COLD_RATE_SHARE * admitted.service().coldRequestsPerSecond() / liveVms;
        EndpointLimits limits = new EndpointLimits(
                maximumInFlight,
                coldRequestsPerSecond > 0 ? coldRequestsPerSecond : Double.POSITIVE_INFINITY,
                admitted.homeDataCentres(gateway.settings().regions()));
        RoutingOptions options = RoutingOptions.of(
                gateway::isEnabled,
                admitted.route().name(),
                (double) admitted.route().targetLatencyMillis(),
                admitted.program().orElse(""));
        return new RoutingRequest(
                admitted.service().name(),
                excluded,
                admitted.request().prefixParts(),
                cacheTokens,
                limits,
                options,
                memory.workTokens(cacheTokens));
    }
}
