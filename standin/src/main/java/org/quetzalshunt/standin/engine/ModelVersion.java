package org.quetzalshunt.standin.engine;

/** A model and its version, with their names in the weight store. */
public record ModelVersion(String model, String version) {
    private static final String SEPARATOR = "@";

    /** Parses {@code model@version}; the default version is {@code 1}. */
    public static ModelVersion parse(String text) {
        int at = text.indexOf(SEPARATOR);
        if (at < 0) {
            return new ModelVersion(text, "1");
        }
        return new ModelVersion(text.substring(0, at), text.substring(at + 1));
    }

    /** Whether the {@code model} field of a request refers to this model and version. */
    boolean isNamed(String name) {
        return name.equals(model) || name.equals(model + SEPARATOR + version);
    }
}
