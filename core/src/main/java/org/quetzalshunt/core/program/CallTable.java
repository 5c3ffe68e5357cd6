package org.quetzalshunt.core.program;

import java.util.Map;
import java.util.Optional;
import org.agrona.collections.Object2ObjectHashMap;

/** Calls that wait for their intent or run at the owner, by client account and idempotency key. */
final class CallTable {
    private final Map<String, CallRequest> calls = new Object2ObjectHashMap<>();

    boolean isEmpty() {
        return calls.isEmpty();
    }

    void add(CallRequest call) {
        calls.put(key(call), call);
    }

    void remove(CallRequest call) {
        if (contains(call)) {
            calls.remove(key(call));
        }
    }

    boolean contains(CallRequest call) {
        CallRequest active = calls.get(key(call));
        return active != null && active.requestId().equals(call.requestId());
    }

    void clear() {
        calls.clear();
    }

    Optional<AdmissionDecision> find(CallRequest call) {
        return Optional.ofNullable(calls.get(key(call)))
                .map(active ->
                        IdempotencyCheck.againstActiveRequest(active.requestId(), active.digest(), call.digest()));
    }

    private static String key(CallRequest call) {
        return call.clientAccount() + '\n' + call.idempotencyKey();
    }
}
