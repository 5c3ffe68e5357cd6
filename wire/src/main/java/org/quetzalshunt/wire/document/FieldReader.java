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
 * Reads and validates the fields of one mapping. An invalid value adds an error and is replaced by a valid value, so
 * that all further errors of the document are found too. The document is then rejected as a whole.
 */
final class FieldReader {
    private static final int MAXIMUM_DIGITS = 18;

    private final Mapping mapping;
    private final String path;
    private final List<DocumentError> errors;
    private final Set<String> knownFields = new HashSet<>();

    private FieldReader(Mapping mapping, String path, List<DocumentError> errors) {
        this.mapping = mapping;
        this.path = path;
        this.errors = errors;
    }

    /**
     * Creates a reader of a mapping. For any other node it adds one error and creates a reader without fields, whose
     * errors are dropped.
     */
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

    double number(String name, Optional<Double> defaultValue, double above, double atMost) {
        String expected = "a number above " + format(above) + ", at most " + format(atMost);
        Optional<LocatedNode> node = defaultValue.isPresent() ? field(name) : required(name, expected);
        if (node.isEmpty()) {
            return defaultValue.orElse(atMost);
        }
        Optional<BigDecimal> value = number(node.get());
        if (value.isEmpty() || value.get().doubleValue() <= above || value.get().doubleValue() > atMost) {
            addError(node.get(), name, expected);
            return atMost;
        }
        return value.get().doubleValue();
    }

    long wholeNumber(String name, long defaultValue, long atLeast, long atMost) {
        Optional<LocatedNode> node = field(name);
        if (node.isEmpty()) {
            return defaultValue;
        }
        Optional<Long> value = number(node.get()).flatMap(FieldReader::toLong);
        if (value.isEmpty() || value.get() < atLeast || value.get() > atMost) {
            addError(node.get(), name, "a whole number from " + atLeast + " to " + atMost);
            return defaultValue;
        }
        return value.get();
    }

    boolean booleanValue(String name, boolean defaultValue) {
        Optional<LocatedNode> node = field(name);
        if (node.isEmpty()) {
            return defaultValue;
        }
        if (node.get() instanceof Scalar scalar && scalar.kind() == ScalarKind.BOOLEAN) {
            return scalar.text().equalsIgnoreCase("true");
        }
        addError(node.get(), name, "true or false");
        return defaultValue;
    }

    /** Reads each item of a list; empty if the field is absent. */
    <T> List<T> list(String name, int atMost, BiFunction<LocatedNode, String, T> item) {
        Optional<LocatedNode> node = field(name);
        if (node.isEmpty()) {
            return List.of();
        }
        if (!(node.get() instanceof Sequence sequence) || sequence.items().size() > atMost) {
            addError(node.get(), name, "a list of at most " + atMost + " items");
            return List.of();
        }
        List<T> items = new ArrayList<>();
        for (int index = 0; index < sequence.items().size(); index++) {
            items.add(item.apply(sequence.items().get(index), fieldPath(name) + "[" + index + "]"));
        }
        return List.copyOf(items);
    }

    /** Reader of a nested mapping; without fields if the field is absent. */
    FieldReader nested(String name) {
        LocatedNode node = field(name).orElse(new Mapping(mapping.line(), Map.of()));
        return of(node, fieldPath(name), errors);
    }

    /**
     * Adds an error for each field that was not read. Otherwise the default would silently apply for a misspelt name.
     */
    void rejectUnknownFields() {
        mapping.fields().forEach((name, node) -> {
            if (!knownFields.contains(name)) {
                addError(
                        node,
                        name,
                        "no such field; the known fields are "
                                + String.join(
                                        ", ", knownFields.stream().sorted().toList()));
            }
        });
    }

    String text(LocatedNode node, String nodePath, Pattern pattern, String expected) {
        if (node instanceof Scalar scalar
                && (scalar.kind() == ScalarKind.TEXT || scalar.kind() == ScalarKind.PLAIN_NUMBER)
                && pattern.matcher(scalar.text()).matches()) {
            return scalar.text();
        }
        errors.add(new DocumentError(node.line(), nodePath, expected));
        return "";
    }

    void addError(String name, String expected) {
        addError(mapping.fields().getOrDefault(name, mapping), name, expected);
    }

    private void addError(LocatedNode node, String name, String expected) {
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
        knownFields.add(name);
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
        } catch (NumberFormatException unsupportedNotation) {
            // YAML has octal and base-60 numbers, which are not supported here.
            return Optional.empty();
        }
    }

    private static Optional<Long> toLong(BigDecimal value) {
        try {
            return Optional.of(value.longValueExact());
        } catch (ArithmeticException fractionalOrTooLarge) {
            return Optional.empty();
        }
    }

    private static String format(double value) {
        return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
    }
}
