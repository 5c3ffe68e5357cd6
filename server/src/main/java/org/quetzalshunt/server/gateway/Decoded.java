package org.quetzalshunt.server.gateway;

import java.util.Optional;
import java.util.function.Function;

/**
 * Result of decoding a record of the store, which another writer may have left.
 *
 * @param value the record; empty if it cannot be used
 * @param reason why the record cannot be used; empty if it can
 */
public record Decoded<T>(Optional<T> value, String reason) {
    /** A record that can be used. */
    public static <T> Decoded<T> of(T value) {
        return new Decoded<>(Optional.of(value), "");
    }

    /** A record that cannot be used. */
    public static <T> Decoded<T> refused(String reason) {
        return new Decoded<>(Optional.empty(), reason);
    }

    /** Decodes further, unless the record was refused. */
    public <U> Decoded<U> then(Function<T, Decoded<U>> step) {
        return value.isPresent() ? step.apply(value.get()) : refused(reason);
    }
}
