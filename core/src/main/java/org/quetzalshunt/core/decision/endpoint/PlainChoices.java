package org.quetzalshunt.core.decision.endpoint;

import java.util.Optional;

/** Baseline choices for comparison. They consider all endpoints and ignore the concurrency limits. */
public final class PlainChoices {
    private PlainChoices() {}

    /** Chooses endpoints in round-robin order. */
    public static EndpointChoice roundRobin() {
        int[] next = new int[1];
        return (request, endpoints) -> {
            int usable = endpoints.usableCount();
            return usable == 0 ? Optional.empty() : Optional.of(endpoints.usable(next[0]++ % usable));
        };
    }

    /** Chooses the endpoint with the fewest requests, from its last report and this entry's requests in flight. */
    public static EndpointChoice leastLoaded() {
        return (request, endpoints) -> {
            TrackedEndpoint best = null;
            for (int number = 0; number < endpoints.usableCount(); number++) {
                TrackedEndpoint endpoint = endpoints.usable(number);
                if (best == null || endpoint.load() < best.load()) {
                    best = endpoint;
                }
            }
            return Optional.ofNullable(best);
        };
    }

    /** Chooses the endpoint that ran the program's last turn, or for a new program one by the hash of its name. */
    public static EndpointChoice affinityOnly() {
        return (request, endpoints) -> {
            if (request.prefixHolder().isPresent()
                    && request.prefixHolder().get().usable()) {
                return request.prefixHolder();
            }
            int usable = endpoints.usableCount();
            if (usable == 0) {
                return Optional.empty();
            }
            int number = Math.floorMod(request.item().cacheKey().hashCode(), usable);
            return Optional.of(endpoints.usable(number));
        };
    }
}
