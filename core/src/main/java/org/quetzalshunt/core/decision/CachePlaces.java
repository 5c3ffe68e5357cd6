package org.quetzalshunt.core.decision;

import java.util.Map;
import java.util.Optional;
import org.agrona.collections.Object2ObjectHashMap;

/** Table of programs and the endpoint that ran the last turn of each. */
final class CachePlaces {
    /**
     * Idle time after which a row goes, against growth by programs whose end was lost. Longer than the longest tool
     * pause, ten minutes.
     */
    static final long IDLE_MILLIS = 1_800_000;

    /**
     * Where a prefix is.
     *
     * @param endpoint endpoint that ran the last turn
     * @param tokens prompt and answer of that turn
     * @param mark tokens placed on the endpoint until then
     * @param placedMillis when the turn ended
     */
    record Place(String endpoint, long tokens, double mark, long placedMillis) {}

    private final Map<String, Place> places = new Object2ObjectHashMap<>();

    void put(String cacheKey, Place place) {
        if (!cacheKey.isEmpty()) {
            places.put(cacheKey, place);
        }
    }

    Optional<Place> find(String cacheKey) {
        return cacheKey.isEmpty() ? Optional.empty() : Optional.ofNullable(places.get(cacheKey));
    }

    void forget(String cacheKey) {
        places.remove(cacheKey);
    }

    void forgetEndpoint(String endpoint) {
        places.values().removeIf(place -> place.endpoint().equals(endpoint));
    }

    void sweep(long nowMillis) {
        places.values().removeIf(place -> nowMillis - place.placedMillis() > IDLE_MILLIS);
    }
}
