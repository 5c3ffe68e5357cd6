package org.quetzalshunt.core.route;

import java.util.Optional;

/**
 * A service as configured.
 *
 * @param name its name
 * @param maximumConnections connections that one of its endpoints takes from all VMs together
 * @param engine present for model services
 */
public record ServiceEntry(String name, int maximumConnections, Optional<EngineShape> engine) {}
