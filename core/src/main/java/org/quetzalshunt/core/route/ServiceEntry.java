package org.quetzalshunt.core.route;

import java.util.Optional;

/**
 * A service as configured.
 *
 * @param name its name
 * @param maximumConnections connections that one of its endpoints takes from all VMs together
 * @param coldRequestsPerSecond requests a second that a cold endpoint of it bears from all VMs together; 0 for no bound
 * @param engine present for model services
 */
public record ServiceEntry(
        String name, int maximumConnections, double coldRequestsPerSecond, Optional<EngineShape> engine) {}
