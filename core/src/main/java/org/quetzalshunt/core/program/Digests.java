package org.quetzalshunt.core.program;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** SHA-256 (FIPS 180-4) digests, used to compare requests, histories and keys without storing their text. */
public final class Digests {
    private Digests() {}

    /** Digest of the concatenated parts. */
    public static byte[] sha256(byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] part : parts) {
                digest.update(part);
            }
            return digest.digest();
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
