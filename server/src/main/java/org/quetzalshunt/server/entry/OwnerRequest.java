package org.quetzalshunt.server.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A request to be handled by the owner of its shard. It carries the client account that the key belongs to, but not the
 * key.
 *
 * @param requestId id assigned by the entry that received the request
 * @param clientAccount account that the key belongs to
 * @param method HTTP method
 * @param path path with query
 * @param headers headers for the owner or the endpoint, by lower-case name
 * @param body unchanged body
 * @param deadlineMillis time by which the response is due, on this VM's clock
 * @param hops number of times that the request was forwarded
 */
record OwnerRequest(
        String requestId,
        String clientAccount,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        long deadlineMillis,
        int hops) {

    Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Key under which the request runs at most once: the caller's, or one derived from the request id. */
    String idempotencyKey() {
        return header(CallerHeaders.IDEMPOTENCY_KEY).orElse("request:" + requestId);
    }

    boolean hasCallerIdempotencyKey() {
        return headers.containsKey(CallerHeaders.IDEMPOTENCY_KEY);
    }

    OwnerRequest withHeader(String name, String value) {
        Map<String, String> changed = new HashMap<>(headers);
        changed.put(name, value);
        return new OwnerRequest(requestId, clientAccount, method, path, changed, body, deadlineMillis, hops);
    }

    OwnerRequest withHopAdded() {
        return new OwnerRequest(requestId, clientAccount, method, path, headers, body, deadlineMillis, hops + 1);
    }
}
