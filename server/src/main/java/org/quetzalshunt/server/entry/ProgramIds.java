package org.quetzalshunt.server.entry;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.quetzalshunt.core.program.Digests;
import org.quetzalshunt.core.program.ShardNumbers;

/**
 * Derives the id of a program from the account and the idempotency key of the request that creates it. A re-send
 * through any entry yields the same id, so it finds the existing program instead of creating a second one.
 */
final class ProgramIds {
    private static final int ID_BYTES = 12;

    private ProgramIds() {}

    static String root(String clientAccount, String idempotencyKey) {
        return "p-" + digest(clientAccount, idempotencyKey, "root");
    }

    static String implicit(OwnerRequest request) {
        return implicit(request.clientAccount(), request.idempotencyKey());
    }

    static String implicit(String clientAccount, String idempotencyKey) {
        return "i-" + digest(clientAccount, idempotencyKey, "implicit");
    }

    static String child(String parent, OwnerRequest request) {
        String suffix = digest(request.clientAccount(), request.idempotencyKey(), parent);
        return ShardNumbers.root(parent) + ShardNumbers.SEPARATOR + suffix;
    }

    private static String digest(String clientAccount, String idempotencyKey, String kind) {
        byte[] digest =
                Digests.sha256((clientAccount + '\n' + idempotencyKey + '\n' + kind).getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest, 0, ID_BYTES);
    }
}
