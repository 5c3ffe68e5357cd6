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
     * Part of a prefix that is still counted on beyond the endpoint's horizon. Answers caches that are too small for
     * the load: with nothing counted on, a program goes anywhere and loses the chance that its prefix survived; with
     * all of it, it waits for an endpoint that has forgotten it.
     */
    static final double DOUBTED_PART = 0.25;

    /**
     * Where a prefix is.
     *
     * @param endpoint endpoint that ran the last turn
     * @param tokens prompt and answer of that turn
     * @param mark tokens placed on the endpoint until then
     * @param placedMillis when the turn ended
     */
    record Place(String endpoint, long tokens, double mark, long placedMillis) {
        /** The same place when it has probably been evicted. */
        Place doubted() {
            return new Place(endpoint, Math.round(tokens * DOUBTED_PART), mark, placedMillis);
        }
    }

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
