package org.quetzalshunt.standin.engine;

/** A model in one version, as the weight store names them. */
public record ModelVersion(String model, String version) {
    private static final String SEPARATOR = "@";

    /** Reads {@code model@version}; without a version it is {@code 1}. */
    public static ModelVersion parse(String text) {
        int at = text.indexOf(SEPARATOR);
        if (at < 0) {
            return new ModelVersion(text, "1");
        }
        return new ModelVersion(text.substring(0, at), text.substring(at + 1));
    }

    /** Whether a request's {@code model} field means this one. */
    boolean isNamed(String name) {
        return name.equals(model) || name.equals(model + SEPARATOR + version);
    }
}
