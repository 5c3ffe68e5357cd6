package org.quetzalshunt.wire.document;

import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.document.ServiceDocument;

/** Result of parsing and validating the text of a document. */
public sealed interface DocumentResult {
    /** The text is a valid document. */
    record Valid(ServiceDocument document) implements DocumentResult {}

    /** The text is not valid. The errors are in order of their lines. */
    record Invalid(List<DocumentError> errors) implements DocumentResult {}

    /** The document; empty if the text is not valid. */
    default Optional<ServiceDocument> toOptional() {
        return this instanceof Valid valid ? Optional.of(valid.document()) : Optional.empty();
    }

    /** Validation errors; empty if the text is valid. */
    default List<DocumentError> errors() {
        return this instanceof Invalid invalid ? invalid.errors() : List.of();
    }
}
