package org.quetzalshunt.core.decision.endpoint;

import java.util.Optional;
import org.quetzalshunt.core.decision.WorkItem;

/**
 * A queued request for which an endpoint is chosen.
 *
 * @param nowMillis current time
 * @param item the request
 * @param urgency class of the request, which determines the part of an endpoint's limit that it may use
 * @param prefixHolder endpoint that probably has the prefix in its cache
 * @param cachedTokens tokens that are probably cached there
 */
public record PlacementRequest(
        long nowMillis, WorkItem item, Urgency urgency, Optional<TrackedEndpoint> prefixHolder, long cachedTokens) {

    /** Returns the tokens of the prompt that an endpoint probably has in its cache. */
    long cachedTokensAt(TrackedEndpoint endpoint) {
        boolean isHolder = prefixHolder.isPresent() && prefixHolder.get() == endpoint;
        return isHolder ? Math.min(cachedTokens, item.promptTokens()) : 0;
    }

    /** Whether an earlier attempt failed at an endpoint. */
    boolean avoids(TrackedEndpoint endpoint) {
        return item.avoidEndpoint().equals(endpoint.name());
    }
}
