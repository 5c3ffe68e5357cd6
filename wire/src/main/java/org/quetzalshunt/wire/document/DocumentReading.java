package org.quetzalshunt.wire.document;

import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.document.ServiceDocument;

/** What a text was read as. */
public sealed interface DocumentReading {
    /** The text is a valid document. */
    record Valid(ServiceDocument document) implements DocumentReading {}

    /** The text is not valid; the errors come in the order of the text. */
    record Invalid(List<DocumentError> errors) implements DocumentReading {}

    /** The document, if the text is valid. */
    default Optional<ServiceDocument> toOptional() {
        return this instanceof Valid valid ? Optional.of(valid.document()) : Optional.empty();
    }

    /** What is wrong; empty for a valid document. */
    default List<DocumentError> errors() {
        return this instanceof Invalid invalid ? invalid.errors() : List.of();
    }
}
