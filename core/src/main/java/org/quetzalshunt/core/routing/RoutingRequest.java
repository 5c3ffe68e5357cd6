package org.quetzalshunt.core.routing;

import java.util.List;
import java.util.Set;

/**
 * What a request wants of an endpoint.
 *
 * @param service its service
 * @param excluded ids that it was already sent to
 * @param prompt parts of its prompt in order; empty for work that reads none
 * @param memoryTokens tokens that an engine of the service holds in memory
 * @param limits what bounds this VM's use of endpoints
 */
public record RoutingRequest(
        String service, Set<String> excluded, List<PrefixPart> prompt, long memoryTokens, EndpointLimits limits) {
    /** What a request without a prompt wants. */
    public static RoutingRequest plain(String service, Set<String> excluded, EndpointLimits limits) {
        return new RoutingRequest(service, excluded, List.of(), 0, limits);
    }
}
