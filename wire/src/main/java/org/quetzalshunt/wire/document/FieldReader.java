package org.quetzalshunt.wire.document;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.regex.Pattern;
import org.quetzalshunt.wire.document.LocatedNode.Mapping;
import org.quetzalshunt.wire.document.LocatedNode.Scalar;
import org.quetzalshunt.wire.document.LocatedNode.ScalarKind;
import org.quetzalshunt.wire.document.LocatedNode.Sequence;

/**
 * Reads the fields of one mapping and notes what is wrong with them. A value that is wrong is replaced by a harmless
 * one, so that reading goes on to the next error; the reading as a whole is invalid then.
 */
final class FieldReader {
    private static final int MAXIMUM_DIGITS = 18;

    private final Mapping mapping;
    private final String path;
    private final List<DocumentError> errors;
    private final Set<String> known = new HashSet<>();

    private FieldReader(Mapping mapping, String path, List<DocumentError> errors) {
        this.mapping = mapping;
        this.path = path;
        this.errors = errors;
    }

    /** A reader of a node that should be a mapping; one without fields in place of any other. */
    static FieldReader of(LocatedNode node, String path, List<DocumentError> errors) {
        if (node instanceof Mapping mapping) {
            return new FieldReader(mapping, path, errors);
        }
        errors.add(new DocumentError(node.line(), path, "a mapping with fields"));
        return new FieldReader(new Mapping(node.line(), Map.of()), path, new ArrayList<>());
    }

    String requiredText(String name, Pattern pattern, String expected) {
        Optional<LocatedNode> node = required(name, expected);
        return node.map(present -> text(present, fieldPath(name), pattern, expected))
                .orElse("");
    }

    double number(String name, Optional<Double> otherwise, double above, double atMost) {
        String expected = "a number above " + plain(above) + ", at most " + plain(atMost);
        Optional<LocatedNode> node = otherwise.isPresent() ? field(name) : required(name, expected);
        if (node.isEmpty()) {
            return otherwise.orElse(atMost);
        }
        Optional<BigDecimal> value = number(node.get());
        if (value.isEmpty() || value.get().doubleValue() <= above || value.get().doubleValue() > atMost) {
            note(node.get(), name, expected);
            return atMost;
        }
        return value.get().doubleValue();
    }

    long wholeNumber(String name, long otherwise, long atLeast, long atMost) {
        Optional<LocatedNode> node = field(name);
        if (node.isEmpty()) {
            return otherwise;
        }
        Optional<Long> value = number(node.get()).flatMap(FieldReader::whole);
        if (value.isEmpty() || value.get() < atLeast || value.get() > atMost) {
            note(node.get(), name, "a whole number from " + atLeast + " to " + atMost);
            return otherwise;
        }
        return value.get();
    }

    boolean truth(String name, boolean otherwise) {
        Optional<LocatedNode> node = field(name);
        if (node.isEmpty()) {
            return otherwise;
        }
        if (node.get() instanceof Scalar scalar && scalar.kind() == ScalarKind.TRUTH) {
            return scalar.text().equalsIgnoreCase("true");
        }
        note(node.get(), name, "true or false");
        return otherwise;
    }

    /** Reads each item of a list; a list that is missing is empty. */
    <T> List<T> list(String name, int atMost, BiFunction<LocatedNode, String, T> item) {
        Optional<LocatedNode> node = field(name);
        if (node.isEmpty()) {
            return List.of();
        }
        if (!(node.get() instanceof Sequence sequence) || sequence.items().size() > atMost) {
            note(node.get(), name, "a list of at most " + atMost + " items");
            return List.of();
        }
        List<T> items = new ArrayList<>();
        for (int index = 0; index < sequence.items().size(); index++) {
            items.add(item.apply(sequence.items().get(index), fieldPath(name) + "[" + index + "]"));
        }
        return List.copyOf(items);
    }

    /** A mapping inside; one without fields when it is missing. */
    FieldReader inner(String name) {
        LocatedNode node = field(name).orElse(new Mapping(mapping.line(), Map.of()));
        return of(node, fieldPath(name), errors);
    }

    /** Notes each field that nobody asked for: a misspelt name would otherwise leave its default in force unseen. */
    void refuseUnknown() {
        mapping.fields().forEach((name, node) -> {
            if (!known.contains(name)) {
                note(
                        node,
                        name,
                        "no such field; known are "
                                + String.join(", ", known.stream().sorted().toList()));
            }
        });
    }

    String text(LocatedNode node, String place, Pattern pattern, String expected) {
        if (node instanceof Scalar scalar
                && (scalar.kind() == ScalarKind.TEXT || scalar.kind() == ScalarKind.PLAIN_NUMBER)
                && pattern.matcher(scalar.text()).matches()) {
            return scalar.text();
        }
        errors.add(new DocumentError(node.line(), place, expected));
        return "";
    }

    void note(String name, String expected) {
        note(mapping.fields().getOrDefault(name, mapping), name, expected);
    }

    private void note(LocatedNode node, String name, String expected) {
        errors.add(new DocumentError(node.line(), fieldPath(name), expected));
    }

    private Optional<LocatedNode> required(String name, String expected) {
        Optional<LocatedNode> node = field(name);
        if (node.isEmpty()) {
            errors.add(new DocumentError(mapping.line(), fieldPath(name), expected));
        }
        return node;
    }

    private Optional<LocatedNode> field(String name) {
        known.add(name);
        return Optional.ofNullable(mapping.fields().get(name));
    }

    private String fieldPath(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private static Optional<BigDecimal> number(LocatedNode node) {
        if (!(node instanceof Scalar scalar)
                || (scalar.kind() != ScalarKind.NUMBER && scalar.kind() != ScalarKind.PLAIN_NUMBER)
                || scalar.text().length() > MAXIMUM_DIGITS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new BigDecimal(scalar.text().replace("_", "")));
        } catch (NumberFormatException otherForm) {
            // YAML has numbers in octal and to base 60, which nobody means.
            return Optional.empty();
        }
    }

    private static Optional<Long> whole(BigDecimal value) {
        try {
            return Optional.of(value.longValueExact());
        } catch (ArithmeticException broken) {
            return Optional.empty();
        }
    }

    private static String plain(double value) {
        return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
    }
}
