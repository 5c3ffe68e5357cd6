package org.quetzalshunt.core.store;

import java.util.Optional;

/**
 * A record of the shared map.
 *
 * @param key key; a newer record of the same key replaces this one
 * @param value content; empty if the record removes the key
 */
public record MapEntry(String key, Optional<byte[]> value) {
    /** Creates a record that sets the content of a key. */
    public static MapEntry of(String key, byte[] value) {
        return new MapEntry(key, Optional.of(value));
    }

    /** Creates a record that removes a key. */
    public static MapEntry removal(String key) {
        return new MapEntry(key, Optional.empty());
    }
}
