package org.quetzalshunt.wire.document;

import java.util.List;
import java.util.Map;

/** A parsed value with its line in the text. */
sealed interface LocatedNode {
    int line();

    /** Syntax of a scalar in the text. */
    enum ScalarKind {
        TEXT,
        /** A number without quotes in YAML. May be meant as text, such as a hash that consists only of digits. */
        PLAIN_NUMBER,
        NUMBER,
        BOOLEAN,
        NULL
    }

    record Scalar(int line, ScalarKind kind, String text) implements LocatedNode {}

    record Sequence(int line, List<LocatedNode> items) implements LocatedNode {}

    record Mapping(int line, Map<String, LocatedNode> fields) implements LocatedNode {}
}
