package org.quetzalshunt.server.gateway;

import java.util.Optional;

/**
 * What a response states about itself.
 *
 * @param requestId id of the request that it answers
 * @param stamp stamp of the endpoint that produced it
 */
public record ResponseIdentity(Optional<String> requestId, Optional<String> stamp) {}
