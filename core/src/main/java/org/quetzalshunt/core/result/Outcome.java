package org.quetzalshunt.core.result;

import java.util.Optional;

/**
 * A result that is either a value or a refusal.
 *
 * @param <T> type of the value
 */
public sealed interface Outcome<T> {

    /** A result with a value. */
    record Success<T>(T value) implements Outcome<T> {}

    /** A result without a value, and the refusal that says why. */
    record Failure<T>(Refusal refusal) implements Outcome<T> {}

    /** Wraps a value. */
    static <T> Outcome<T> success(T value) {
        return new Success<>(value);
    }

    /** Wraps a refusal. */
    static <T> Outcome<T> failure(Refusal refusal) {
        return new Failure<>(refusal);
    }

    /** The value, if there is one. */
    default Optional<T> toOptional() {
        return this instanceof Success<T> success ? Optional.of(success.value()) : Optional.empty();
    }

    /** The refusal, if there is one. */
    default Optional<Refusal> toRefusal() {
        return this instanceof Failure<T> failure ? Optional.of(failure.refusal()) : Optional.empty();
    }
}
