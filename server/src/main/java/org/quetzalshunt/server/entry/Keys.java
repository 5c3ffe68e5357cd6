package org.quetzalshunt.server.entry;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;
import org.quetzalshunt.core.program.Digests;
import org.quetzalshunt.server.http.HttpExchange;

/** A caller's key: read from its header, hashed at once, and never passed on. */
final class Keys {
    private Keys() {}

    /** SHA-256 of the bearer token in lower-case hex; empty when no key came. */
    static Optional<String> hash(HttpExchange exchange) {
        return exchange.bearerToken().filter(key -> !key.isEmpty()).map(key -> HexFormat.of()
                .formatHex(Digests.sha256(key.getBytes(StandardCharsets.UTF_8))));
    }
}
