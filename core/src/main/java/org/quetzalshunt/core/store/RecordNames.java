package org.quetzalshunt.core.store;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.quetzalshunt.core.program.Digests;

/**
 * Names of turns and programs as parts of keys. A store limits the length of a key, callers do not limit that of an id:
 * a long name is replaced by its digest.
 */
public final class RecordNames {
    /** Leaves room in a key for what follows the name. */
    static final int MAXIMUM_BYTES = 160;

    /** First character of a digest. A name that begins with it is replaced as well, so that none is read as another's. */
    private static final String DIGEST_MARK = "~";

    private RecordNames() {}

    /** The name as a part of a key, which is the same at all VMs. */
    public static String of(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        if (bytes.length <= MAXIMUM_BYTES && !name.startsWith(DIGEST_MARK)) {
            return name;
        }
        return DIGEST_MARK + HexFormat.of().formatHex(Digests.sha256(bytes));
    }
}
