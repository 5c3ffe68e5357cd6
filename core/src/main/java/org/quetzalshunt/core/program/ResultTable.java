package org.quetzalshunt.core.program;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.agrona.collections.Object2ObjectHashMap;

/** Stored results by client account and idempotency key. Equal keys of different accounts do not collide. */
final class ResultTable {
    private final Map<String, Map<String, StoredResult>> accounts = new Object2ObjectHashMap<>();

    Optional<StoredResult> find(String clientAccount, String idempotencyKey) {
        Map<String, StoredResult> results = accounts.get(clientAccount);
        return results == null ? Optional.empty() : Optional.ofNullable(results.get(idempotencyKey));
    }

    void put(String clientAccount, String idempotencyKey, StoredResult result) {
        accounts.computeIfAbsent(clientAccount, ignored -> new HashMap<>()).put(idempotencyKey, result);
    }

    void remove(String clientAccount, String idempotencyKey) {
        Map<String, StoredResult> results = accounts.get(clientAccount);
        if (results != null) {
            results.remove(idempotencyKey);
        }
    }

    void removeBefore(long millis) {
        accounts.values().forEach(results -> results.values().removeIf(result -> result.recordedMillis() < millis));
        accounts.values().removeIf(Map::isEmpty);
    }

    int size() {
        return accounts.values().stream().mapToInt(Map::size).sum();
    }

    Map<String, Map<String, StoredResult>> all() {
        return accounts;
    }

    void clear() {
        accounts.clear();
    }
}
