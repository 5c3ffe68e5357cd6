package org.quetzalshunt.core.program;

import java.nio.charset.StandardCharsets;

/**
 * Maps programs and calls to shard numbers by hash. A sub-agent's id is its root's id, a separator and a suffix, and
 * only the root's id is hashed. So a tree of programs is in one shard and can share its root's budget without messages
 * between shards.
 */
public final class ShardNumbers {
    /** Separates a root's id from the suffix of a sub-agent. */
    public static final char SEPARATOR = '.';

    private static final int BYTE_MASK = 0xff;

    private ShardNumbers() {}

    /** Id of a program's root. */
    public static String root(String program) {
        int separator = program.indexOf(SEPARATOR);
        return separator < 0 ? program : program.substring(0, separator);
    }

    /** Shard of a program, by its root. */
    public static int ofProgram(String program, int shards) {
        return of(root(program), shards);
    }

    /** Shard of a call outside any program, by its account and idempotency key. */
    public static int ofCall(String clientAccount, String idempotencyKey, int shards) {
        return of(clientAccount + '\n' + idempotencyKey, shards);
    }

    private static int of(String name, int shards) {
        byte[] digest = Digests.sha256(name.getBytes(StandardCharsets.UTF_8));
        int hash = 0;
        for (int index = 0; index < Integer.BYTES; index++) {
            hash = (hash << Byte.SIZE) | (digest[index] & BYTE_MASK);
        }
        return Math.floorMod(hash, shards);
    }
}
