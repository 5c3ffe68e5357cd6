package org.quetzalshunt.core.decision.endpoint;

import java.util.Optional;

/** Plain baselines, kept to measure against. They look at every endpoint, and at no limit. */
public final class PlainChoices {
    private PlainChoices() {}

    /** One after the other. */
    public static EndpointChoice roundRobin() {
        int[] turn = new int[1];
        return (request, endpoints) -> {
            int usable = endpoints.usableCount();
            return usable == 0 ? Optional.empty() : Optional.of(endpoints.usable(turn[0]++ % usable));
        };
    }

    /** The one with the fewest requests, by its last report and by what this entry has there. */
    public static EndpointChoice leastLoaded() {
        return (request, endpoints) -> {
            EndpointEntry best = null;
            for (int number = 0; number < endpoints.usableCount(); number++) {
                EndpointEntry entry = endpoints.usable(number);
                if (best == null || entry.load() < best.load()) {
                    best = entry;
                }
            }
            return Optional.ofNullable(best);
        };
    }

    /** The one that ran the program's last turn; for a new program one by the hash of its name. */
    public static EndpointChoice affinityOnly() {
        return (request, endpoints) -> {
            if (request.cached().isPresent() && request.cached().get().usable()) {
                return request.cached();
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
