package org.quetzalshunt.core.attempt;

import java.util.Optional;

/**
 * One version of one model or adapter.
 *
 * @param model name of the model or adapter
 * @param version version as named in the weight store
 */
public record ModelVersion(String model, String version) {
    private static final char SEPARATOR = '@';

    /** Parses a text such as {@code tutor-7b@3}; empty when a part is missing. */
    public static Optional<ModelVersion> parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        if (separator <= 0 || separator == text.length() - 1) {
            return Optional.empty();
        }
        return Optional.of(new ModelVersion(text.substring(0, separator), text.substring(separator + 1)));
    }

    @Override
    public String toString() {
        return model + SEPARATOR + version;
    }
}
