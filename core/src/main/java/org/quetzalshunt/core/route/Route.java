package org.quetzalshunt.core.route;

import java.util.List;
import java.util.Set;

/**
 * A class of requests, by host and path.
 *
 * @param name name, for logs
 * @param host value of the Host header
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time for which a request is kept
 * @param targetLatencyMillis time within which an answer is of full use
 * @param priority 0 is the most urgent
 * @param targets services, with their weights
 * @param maximumAttempts endpoints that may run one request
 * @param stateful whether requests are turns whose history is kept here
 * @param retentionMillis how long a turn is kept
 * @param open whether requests need no key
 * @param allowedRegions regions in which its requests may run; empty for any
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        List<RouteTarget> targets,
        int maximumAttempts,
        boolean stateful,
        long retentionMillis,
        boolean open,
        Set<String> allowedRegions) {

    /**
     * The service for a request, by weight.
     *
     * @param hash any number that is spread evenly over requests
     */
    public String serviceFor(long hash) {
        int total = targets.stream().mapToInt(RouteTarget::weight).sum();
        if (total <= 0) {
            return targets.get(0).service();
        }
        long point = Math.floorMod(hash, total);
        for (RouteTarget target : targets) {
            point -= target.weight();
            if (point < 0) {
                return target.service();
            }
        }
        return targets.get(0).service();
    }
}
