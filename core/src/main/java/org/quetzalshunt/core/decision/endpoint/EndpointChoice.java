package org.quetzalshunt.core.decision.endpoint;

import java.util.Optional;

/** Chooses the endpoint of a request. */
@FunctionalInterface
public interface EndpointChoice {
    /** Returns the endpoint for the request; empty if waiting is better or no endpoint has capacity. */
    Optional<TrackedEndpoint> choose(PlacementRequest request, ServiceEndpoints endpoints);
}
