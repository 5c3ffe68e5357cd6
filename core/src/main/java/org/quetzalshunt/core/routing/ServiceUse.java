package org.quetzalshunt.core.routing;

import java.util.List;

/**
 * Slots of the endpoints of a service and their use. Endpoints that are ejected, fail often or are cold count neither
 * with their slots nor with their requests, since they take little or no new work.
 *
 * @param slots requests that the endpoints process concurrently
 * @param ownInFlight requests of this VM in flight
 * @param peersInFlight requests of the peers in flight, as last reported
 * @param reportingPeers number of peers whose reports are known
 */
public record ServiceUse(int slots, int ownInFlight, int peersInFlight, int reportingPeers) {
    /** Failure rate above which selection sends an endpoint hardly any work. */
    private static final double MAXIMUM_FAILURE_RATE = 0.5;

    static ServiceUse of(long nowMillis, List<EndpointRow> open, int reportingPeers) {
        int slots = 0;
        int own = 0;
        int peers = 0;
        for (EndpointRow row : open) {
            if (isHealthy(nowMillis, row)) {
                slots += Math.max(1, row.registration.slots());
                own += row.inFlight;
                peers += row.peersInFlight;
            }
        }
        return new ServiceUse(slots, own, peers, reportingPeers);
    }

    private static boolean isHealthy(long nowMillis, EndpointRow row) {
        return row.ejectedUntilMillis <= nowMillis
                && !row.coldStart.isCold(nowMillis)
                && row.failureRate(nowMillis) < MAXIMUM_FAILURE_RATE;
    }
}
