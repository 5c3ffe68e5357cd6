package org.quetzalshunt.core.attempt;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Filters the HTTP headers between callers and endpoints. Uses allowlists, because any header may contain a caller's
 * key: a header that is not known to be harmless is dropped, even if an entry process forwards it by mistake.
 */
public final class EndpointHeaders {
    private static final Set<String> ALLOWED = Set.of(
            "accept",
            "accept-language",
            "content-language",
            "content-type",
            "idempotency-key",
            "if-match",
            "if-modified-since",
            "if-none-match",
            "traceparent",
            "user-agent",
            "x-request-id");

    private static final Set<String> ALLOWED_IN_ANSWERS =
            Set.of("content-disposition", "content-language", "content-type", "etag", "location", "retry-after");

    private EndpointHeaders() {}

    /** Returns the request headers that may be sent to an endpoint, with names in lower case. */
    public static Map<String, String> ofRequest(Iterable<Map.Entry<String, String>> headers) {
        return filter(headers, ALLOWED);
    }

    /** Returns the response headers that are forwarded to callers, with names in lower case; never a cookie. */
    public static Map<String, String> ofAnswer(Iterable<Map.Entry<String, String>> headers) {
        return filter(headers, ALLOWED_IN_ANSWERS);
    }

    private static Map<String, String> filter(Iterable<Map.Entry<String, String>> headers, Set<String> names) {
        Map<String, String> allowed = new HashMap<>();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (names.contains(name)) {
                allowed.put(name, header.getValue());
            }
        }
        return allowed;
    }
}
