package org.quetzalshunt.server.entry;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;
import org.quetzalshunt.core.program.Digests;
import org.quetzalshunt.server.http.HttpExchange;

/**
 * Reads the API key of a request. Only its hash is returned, so that the key itself is neither stored nor forwarded.
 */
final class ApiKeys {
    private ApiKeys() {}

    /** SHA-256 of the bearer token in lower-case hex; empty if the request has none. */
    static Optional<String> hash(HttpExchange exchange) {
        return exchange.bearerToken().filter(key -> !key.isEmpty()).map(key -> HexFormat.of()
                .formatHex(Digests.sha256(key.getBytes(StandardCharsets.UTF_8))));
    }
}
