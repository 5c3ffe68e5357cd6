package org.quetzalshunt.server.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A request on its way to the owner of its shard: with the account that its key stood for, without the key.
 *
 * @param requestId id given by the entry that took it
 * @param clientAccount account of the key
 * @param method HTTP method
 * @param path path with query
 * @param headers headers that matter to the owner or the endpoint, by lower-case name
 * @param body body as it came
 * @param deadlineMillis when an answer is of no more use, on this VM's clock
 * @param hops entries that passed it on
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

    /** Key under which the request runs at most once: the caller's, or one made of the request's own id. */
    String idempotencyKey() {
        return header(CallerHeaders.IDEMPOTENCY_KEY).orElse("request:" + requestId);
    }

    boolean hasCallersKey() {
        return headers.containsKey(CallerHeaders.IDEMPOTENCY_KEY);
    }

    OwnerRequest withHeader(String name, String value) {
        Map<String, String> changed = new HashMap<>(headers);
        changed.put(name, value);
        return new OwnerRequest(requestId, clientAccount, method, path, changed, body, deadlineMillis, hops);
    }

    OwnerRequest passedOn() {
        return new OwnerRequest(requestId, clientAccount, method, path, headers, body, deadlineMillis, hops + 1);
    }
}
