package org.quetzalshunt.core.decision.endpoint;

import java.util.Optional;
import org.quetzalshunt.core.decision.WorkItem;

/**
 * A request that looks for an endpoint.
 *
 * @param nowMillis present time
 * @param item the request
 * @param urgency what it may claim of an endpoint's room
 * @param cached endpoint that is believed to hold its prefix
 * @param cachedTokens tokens believed to be held there
 */
public record PlacementRequest(
        long nowMillis, WorkItem item, Urgency urgency, Optional<EndpointEntry> cached, long cachedTokens) {

    /** Tokens of the prompt that an endpoint is believed to hold. */
    long cachedTokensAt(EndpointEntry entry) {
        boolean holds = cached.isPresent() && cached.get() == entry;
        return holds ? Math.min(cachedTokens, item.promptTokens()) : 0;
    }

    /** Whether an earlier attempt failed there. */
    boolean avoids(EndpointEntry entry) {
        return item.avoidEndpoint().equals(entry.name());
    }
}
