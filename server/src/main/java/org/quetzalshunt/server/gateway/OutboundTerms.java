package org.quetzalshunt.server.gateway;

import java.util.Optional;

/**
 * What an endpoint is sent beside the caller's own headers.
 *
 * @param endpoint id of the endpoint meant; another one at its address refuses
 * @param remainingMillis time that is left for the answer
 * @param account client account whose key came with the request
 * @param urgency 0 is the most urgent
 */
public record OutboundTerms(String endpoint, long remainingMillis, Optional<String> account, int urgency) {}
