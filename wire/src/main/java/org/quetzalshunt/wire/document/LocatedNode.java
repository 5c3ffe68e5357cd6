package org.quetzalshunt.wire.document;

import java.util.List;
import java.util.Map;

/** A value of the text with its line. */
sealed interface LocatedNode {
    int line();

    /** How a scalar was written. */
    enum ScalarKind {
        TEXT,
        /** A number in YAML, which may have been meant as text: a hash of digits alone, say. */
        PLAIN_NUMBER,
        NUMBER,
        TRUTH,
        NOTHING
    }

    record Scalar(int line, ScalarKind kind, String text) implements LocatedNode {}

    record Sequence(int line, List<LocatedNode> items) implements LocatedNode {}

    record Mapping(int line, Map<String, LocatedNode> fields) implements LocatedNode {}
}
