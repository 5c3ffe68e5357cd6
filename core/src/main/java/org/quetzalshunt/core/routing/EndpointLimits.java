package org.quetzalshunt.core.routing;

import java.util.Optional;
import java.util.Set;

/**
 * Limits on this VM's use of the endpoints of a service.
 *
 * @param maximumInFlight maximum number of requests in flight at one endpoint
 * @param coldRequestsPerSecond maximum rate of requests to a cold endpoint; infinite for no limit
 * @param dataCentres data centres where the request may run; empty for no restriction
 */
public record EndpointLimits(int maximumInFlight, double coldRequestsPerSecond, Optional<Set<String>> dataCentres) {
    /** Limits only the number of requests in flight. */
    public static EndpointLimits inFlight(int maximum) {
        return new EndpointLimits(maximum, Double.POSITIVE_INFINITY, Optional.empty());
    }

    boolean allows(String dataCentre) {
        return dataCentres.map(allowed -> allowed.contains(dataCentre)).orElse(true);
    }
}
