package org.quetzalshunt.core.result;

import java.util.Optional;

/**
 * A value or the refusal in its place.
 *
 * @param <T> type of the value
 */
public sealed interface Outcome<T> {

    /** The value is there. */
    record Success<T>(T value) implements Outcome<T> {}

    /** The value is not there, and why. */
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
