package org.quetzalshunt.core.routing;

import java.util.List;
import java.util.Set;

/**
 * The properties of a request that determine its endpoint.
 *
 * @param service service that the request is for
 * @param excluded ids of endpoints that it was already sent to
 * @param prompt parts of the prompt in order; empty for a request without a prompt
 * @param memoryTokens capacity of an engine's prefix cache in tokens
 * @param limits limits on this VM's use of the endpoints
 * @param options parts of load control that are on
 * @param workTokens tokens of prompt and maximum output, at most {@code memoryTokens}; 0 if endpoints are used whatever
 *     they hold
 */
public record RoutingRequest(
        String service,
        Set<String> excluded,
        List<PrefixPart> prompt,
        long memoryTokens,
        EndpointLimits limits,
        RoutingOptions options,
        long workTokens) {
    /** Creates a routing request with all parts of load control off. */
    public RoutingRequest(
            String service, Set<String> excluded, List<PrefixPart> prompt, long memoryTokens, EndpointLimits limits) {
        this(service, excluded, prompt, memoryTokens, limits, RoutingOptions.OFF, 0);
    }

    /** Creates a routing request for which endpoints are used whatever they hold. */
    public RoutingRequest(
            String service,
            Set<String> excluded,
            List<PrefixPart> prompt,
            long memoryTokens,
            EndpointLimits limits,
            RoutingOptions options) {
        this(service, excluded, prompt, memoryTokens, limits, options, 0);
    }

    /** Creates a routing request without a prompt. */
    public static RoutingRequest plain(String service, Set<String> excluded, EndpointLimits limits) {
        return new RoutingRequest(service, excluded, List.of(), 0, limits);
    }
}
