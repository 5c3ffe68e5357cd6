package org.quetzalshunt.core.routing;

import java.util.Optional;
import java.util.Set;

/**
 * What bounds this VM's use of the endpoints of a service.
 *
 * @param maximumInFlight requests that it may have at one endpoint
 * @param coldRequestsPerSecond requests a second that it may send to a cold endpoint; infinite where that is not bounded
 * @param dataCentres where the request may run; empty for anywhere
 */
public record EndpointLimits(int maximumInFlight, double coldRequestsPerSecond, Optional<Set<String>> dataCentres) {
    /** Bounds nothing but the requests in flight. */
    public static EndpointLimits inFlight(int maximum) {
        return new EndpointLimits(maximum, Double.POSITIVE_INFINITY, Optional.empty());
    }

    /** Whether the request may run in a data centre. */
    boolean allows(String dataCentre) {
        return dataCentres.map(allowed -> allowed.contains(dataCentre)).orElse(true);
    }
}
