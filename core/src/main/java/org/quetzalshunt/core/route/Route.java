package org.quetzalshunt.core.route;

import java.util.List;
import java.util.Set;

/**
 * Configuration of the requests with a given host and path prefix.
 *
 * @param name name in logs
 * @param host value of the Host header
 * @param pathPrefix begins and ends with a slash
 * @param kind whether a request may be sent again after an unknown outcome, and whether the response is a stream
 * @param timeoutMillis maximum time from the arrival of a request to its answer
 * @param targetLatencyMillis latency objective of an answer
 * @param priority 0 is the most urgent
 * @param targets services that requests are distributed to, with their weights
 * @param maximumAttempts maximum number of endpoints that a request is sent to
 * @param stateful whether requests are turns of programs whose history the system stores
 * @param retentionMillis how long a stored turn is retained
 * @param keyless whether requests are accepted without a key
 * @param allowedRegions regions in which requests of the route may run; empty for any
 * @param resumable whether a stream that broke may be continued by another run after its last event
 * @param targetGapMillis longest pause between two events with which a stream is on time
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
        boolean keyless,
        Set<String> allowedRegions,
        boolean resumable,
        long targetGapMillis) {

    /** Whether a request is a stream that may be sent to one endpoint only. */
    public boolean isSingleAttemptStream() {
        return kind == RequestKind.STREAM && maximumAttempts == 1;
    }

    /**
     * Picks the service for a request by the weights of the targets.
     *
     * @param hash a number that is uniformly distributed over requests
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
