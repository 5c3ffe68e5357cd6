package org.quetzalshunt.core.decision;

import java.util.Map;
import java.util.Optional;
import org.agrona.collections.Object2ObjectHashMap;

/** Locations of cached prompt prefixes: for each program, the endpoint that ran its last turn. */
final class PrefixLocationTable {
    /**
     * Idle time after which a location is removed, so that programs whose end was not reported do not fill the table.
     * It is longer than the longest tool pause, ten minutes.
     */
    static final long IDLE_MILLIS = 1_800_000;

    /**
     * Part of a prefix that counts as cached after the endpoint has probably evicted it. This matters when the caches
     * are too small for the load. If nothing counted as cached, a program would run anywhere and lose the chance that
     * its prefix is still cached. If the whole prefix counted, it would wait for an endpoint that has evicted it.
     */
    static final double EVICTED_PREFIX_PART = 0.25;

    /**
     * Location of a prefix.
     *
     * @param endpoint endpoint that ran the last turn
     * @param tokens prompt and answer of that turn
     * @param placedTokens tokens added to the cache of the endpoint up to the end of the turn
     * @param placedMillis when the turn ended
     */
    record Location(String endpoint, long tokens, double placedTokens, long placedMillis) {
        /** The same location with fewer tokens, for a prefix that has probably been evicted. */
        Location withProbableEviction() {
            return new Location(endpoint, Math.round(tokens * EVICTED_PREFIX_PART), placedTokens, placedMillis);
        }
    }

    private final Map<String, Location> locations = new Object2ObjectHashMap<>();

    void put(String cacheKey, Location location) {
        if (!cacheKey.isEmpty()) {
            locations.put(cacheKey, location);
        }
    }

    Optional<Location> find(String cacheKey) {
        return cacheKey.isEmpty() ? Optional.empty() : Optional.ofNullable(locations.get(cacheKey));
    }

    void remove(String cacheKey) {
        locations.remove(cacheKey);
    }

    void removeEndpoint(String endpoint) {
        locations.values().removeIf(location -> location.endpoint().equals(endpoint));
    }

    void removeIdle(long nowMillis) {
        locations.values().removeIf(location -> nowMillis - location.placedMillis() > IDLE_MILLIS);
    }
}
