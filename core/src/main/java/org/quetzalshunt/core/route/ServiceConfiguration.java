package org.quetzalshunt.core.route;

import java.util.Optional;

/**
 * Configuration of a service.
 *
 * @param maximumConnections connections that one endpoint accepts from all VMs together
 * @param coldRequestsPerSecond requests per second that an endpoint accepts from all VMs together while it is cold; 0
 *     for no limit
 * @param engine engine parameters of a model service; empty for other services
 */
public record ServiceConfiguration(
        String name, int maximumConnections, double coldRequestsPerSecond, Optional<EngineCapacity> engine) {}
