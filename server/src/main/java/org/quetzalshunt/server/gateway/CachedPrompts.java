package org.quetzalshunt.server.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Where turns ran, and so where the prompt of the next turn of their line may still be in memory. */
final class CachedPrompts {
    /** Far more turns than engines hold in memory at once. */
    private static final int MOST_TURNS = 20_000;

    private final LinkedHashMap<String, String> endpointByTurn = new LinkedHashMap<>(256, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MOST_TURNS;
        }
    };

    void ran(String turn, String endpoint) {
        endpointByTurn.put(turn, endpoint);
    }

    Optional<String> endpointOf(String turn) {
        return Optional.ofNullable(endpointByTurn.get(turn));
    }
}
