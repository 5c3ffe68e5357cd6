package org.quetzalshunt.core.store;

import java.util.Optional;

/**
 * A record of a map.
 *
 * @param key its key; a newer record of the same key replaces it
 * @param value its content; empty removes the key
 */
public record MapEntry(String key, Optional<byte[]> value) {
    /** A record with content. */
    public static MapEntry of(String key, byte[] value) {
        return new MapEntry(key, Optional.of(value));
    }

    /** A record that removes its key. */
    public static MapEntry removal(String key) {
        return new MapEntry(key, Optional.empty());
    }
}
