package org.quetzalshunt.core.routing;

/**
 * Expected completion time of a request by the measured speed of an endpoint, its queue and its prefill backlog.
 *
 * <p>Load pattern: engines of unequal speed. A slow engine that is idle completes a turn later than a fast one that is
 * nearly full, and a prompt that it has cached is sometimes cheaper to prefill at a fast engine.
 */
final class CompletionTime {
    /** Added latency per running request, as in {@link EndpointCost}. */
    private static final double SLOWDOWN_PER_REQUEST = 0.03;

    private final ServicePace pace;
    private final EngineSpeed speed;
    private final RoutingRequest request;

    CompletionTime(ServicePace pace, EngineSpeed speed, RoutingRequest request) {
        this.pace = pace;
        this.speed = speed;
        this.request = request;
    }

    /** Returns the expected completion time, plus the delay that the prefill causes to the requests running there. */
    double cost(EndpointRow row, long uncachedTokens) {
        return millis(row, uncachedTokens) + pace.prefillMillisPerToken(row, speed) * uncachedTokens * (1 + row.load());
    }

    /** Returns the expected time from sending the request to its end. */
    double millis(EndpointRow row, long uncachedTokens) {
        int load = row.load();
        int slots = row.slots();
        double unloadedMillis = unloadedMillis(row);
        double millis = unloadedMillis * (1 + SLOWDOWN_PER_REQUEST * Math.min(load, slots));
        if (load >= slots) {
            millis += unloadedMillis * (load - slots + 1) / slots;
        }
        long prefillTokens = row.prefillBacklogTokens + row.peersPrefillBacklogTokens + uncachedTokens;
        return millis + pace.prefillMillisPerToken(row, speed) * prefillTokens;
    }

    /** Time of the request at an idle endpoint that has cached its prompt. */
    private double unloadedMillis(EndpointRow row) {
        double millis = request.prompt().isEmpty()
                ? pace.routeMillis(request.options().route()) * pace.relativeTime(row)
                : pace.millisPerToken(row) * speed.tokensPerAnswer();
        return millis > 0 ? millis : row.latencyMillis;
    }

    /**
     * Weight of an endpoint in the sample: its slots times its speed. Its free slots are left out, since all VMs see the
     * same delayed reports: near saturation they would all sample the few endpoints that were free.
     */
    double weight(EndpointRow row) {
        return row.slots() / unloadedMillis(row);
    }
}
