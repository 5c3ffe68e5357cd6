package org.quetzalshunt.core.decision.endpoint;

import java.util.Optional;

/** Chooses the endpoint of a request. */
@FunctionalInterface
public interface EndpointChoice {
    /** The endpoint that takes the request now; empty when it is better to wait or nothing has room. */
    Optional<EndpointEntry> choose(PlacementRequest request, ServiceEndpoints endpoints);
}
