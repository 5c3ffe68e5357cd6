package org.quetzalshunt.server.entry;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.quetzalshunt.server.http.HttpExchange;

/** Header names, and the selection of a caller's headers that are forwarded to the owner and to the endpoint. */
final class CallerHeaders {
    static final String PROGRAM = "quetzalshunt-program";
    static final String TURN = "quetzalshunt-turn";
    static final String MESSAGES = "quetzalshunt-messages";
    static final String REQUEST = "quetzalshunt-request";
    static final String IDEMPOTENCY_KEY = "idempotency-key";
    static final String CONTENT_TYPE = "content-type";
    static final String ACCEPT = "accept";

    /** An allowlist, so that a key in an unexpected header is not forwarded either. */
    private static final Set<String> FORWARDED = Set.of(PROGRAM, TURN, MESSAGES, IDEMPOTENCY_KEY, CONTENT_TYPE, ACCEPT);

    private static final Set<String> TO_ENDPOINT = Set.of(IDEMPOTENCY_KEY, CONTENT_TYPE, ACCEPT);

    private CallerHeaders() {}

    static Map<String, String> forwarded(HttpExchange exchange) {
        Map<String, String> forwarded = new HashMap<>();
        for (Map.Entry<String, String> header : exchange.headers()) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (FORWARDED.contains(name)) {
                forwarded.put(name, header.getValue());
            }
        }
        return forwarded;
    }

    static Map<String, String> toEndpoint(OwnerRequest request) {
        Map<String, String> headers = new HashMap<>(request.headers());
        headers.keySet().retainAll(TO_ENDPOINT);
        return headers;
    }
}
