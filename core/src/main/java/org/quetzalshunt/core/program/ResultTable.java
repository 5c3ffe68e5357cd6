package org.quetzalshunt.core.program;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.agrona.collections.Object2ObjectHashMap;

/** Table of results by client account and idempotency key. Keys of two accounts never meet. */
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

    void forgetBefore(long millis) {
        accounts.values().forEach(results -> results.values().removeIf(result -> result.millis() < millis));
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
