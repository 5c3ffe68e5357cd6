package org.quetzalshunt.server.gateway;

import java.util.Optional;

/**
 * Values that an endpoint receives in headers in addition to those of the caller.
 *
 * @param endpoint id of the intended endpoint; another endpoint at the same address refuses the request
 * @param remainingMillis time left for the response
 * @param account client account that the API key of the request belongs to
 * @param urgency priority of the request; 0 is the most urgent
 */
public record OutboundHeaderValues(String endpoint, long remainingMillis, Optional<String> account, int urgency) {}
