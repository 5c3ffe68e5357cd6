package org.quetzalshunt.core.endpoint;

import java.util.Optional;
import java.util.Set;

/**
 * What a request wants of an endpoint.
 *
 * @param service its service
 * @param excluded ids that it was already sent to
 * @param cachedAt id of the endpoint that may still hold the request's prompt
 * @param cachedMillis time that reading the prompt again would cost elsewhere
 * @param mostInFlight requests that this VM may have at one endpoint
 */
public record Wish(
        String service, Set<String> excluded, Optional<String> cachedAt, double cachedMillis, int mostInFlight) {}
