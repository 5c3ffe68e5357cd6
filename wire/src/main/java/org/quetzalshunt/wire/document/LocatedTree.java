package org.quetzalshunt.wire.document;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.wire.document.LocatedNode.Mapping;
import org.quetzalshunt.wire.document.LocatedNode.Scalar;
import org.quetzalshunt.wire.document.LocatedNode.ScalarKind;
import org.quetzalshunt.wire.document.LocatedNode.Sequence;

/**
 * Parses YAML or JSON to a tree of values with their lines. YAML aliases are rejected, because a few nested aliases
 * expand a small text to a tree that exhausts the memory.
 */
final class LocatedTree {
    private static final int MAXIMUM_DEPTH = 8;
    private static final int MAXIMUM_VALUES = 100_000;
    private static final JsonFactory JSON = new JsonFactory();
    private static final YAMLFactory YAML = new YAMLFactory();

    private final JsonParser parser;
    private final List<DocumentError> errors;
    private int valueCount;

    private LocatedTree(JsonParser parser, List<DocumentError> errors) {
        this.parser = parser;
        this.errors = errors;
    }

    /** Parses the text. If this fails, the result is empty and the cause is added to the errors. */
    static Optional<LocatedNode> read(String text, List<DocumentError> errors) {
        boolean json = text.stripLeading().startsWith("{");
        try (JsonParser parser = json ? JSON.createParser(text) : YAML.createParser(text)) {
            return new LocatedTree(parser, errors).readDocument();
        } catch (JsonProcessingException malformed) {
            int line = malformed.getLocation() == null
                    ? 1
                    : malformed.getLocation().getLineNr();
            errors.add(new DocumentError(Math.max(1, line), "", (json ? "JSON" : "YAML") + " that can be parsed"));
            return Optional.empty();
        } catch (IOException | RuntimeException malformed) {
            // The YAML parser throws unchecked exceptions for some malformed escape sequences.
            errors.add(new DocumentError(1, "", "text that can be parsed"));
            return Optional.empty();
        }
    }

    private Optional<LocatedNode> readDocument() throws IOException {
        if (parser.nextToken() == null) {
            errors.add(new DocumentError(1, "", "a document, not an empty text"));
            return Optional.empty();
        }
        Optional<LocatedNode> node = readValue("", 0);
        if (node.isPresent() && parser.nextToken() != null) {
            errors.add(new DocumentError(line(), "", "one document only"));
        }
        return node;
    }

    private Optional<LocatedNode> readValue(String path, int depth) throws IOException {
        valueCount++;
        if (depth > MAXIMUM_DEPTH || valueCount > MAXIMUM_VALUES) {
            errors.add(new DocumentError(
                    line(), path, "at most " + MAXIMUM_DEPTH + " levels and " + MAXIMUM_VALUES + " values"));
            return Optional.empty();
        }
        if (parser instanceof YAMLParser yaml && yaml.isCurrentAlias()) {
            errors.add(new DocumentError(line(), path, "a value in place of an alias"));
            return Optional.empty();
        }
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return readMapping(path, depth);
        }
        if (token == JsonToken.START_ARRAY) {
            return readSequence(path, depth);
        }
        return Optional.of(new Scalar(line(), kind(token), token == JsonToken.VALUE_NULL ? "" : parser.getText()));
    }

    private Optional<LocatedNode> readMapping(String path, int depth) throws IOException {
        int start = line();
        Map<String, LocatedNode> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            String fieldPath = path.isEmpty() ? name : path + "." + name;
            int nameLine = line();
            parser.nextToken();
            Optional<LocatedNode> value = readValue(fieldPath, depth + 1);
            if (value.isEmpty()) {
                return Optional.empty();
            }
            if (fields.putIfAbsent(name, value.get()) != null) {
                errors.add(new DocumentError(nameLine, fieldPath, "a field that is used only once in its mapping"));
            }
        }
        return Optional.of(new Mapping(start, fields));
    }

    private Optional<LocatedNode> readSequence(String path, int depth) throws IOException {
        int start = line();
        List<LocatedNode> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            Optional<LocatedNode> item = readValue(path + "[" + items.size() + "]", depth + 1);
            if (item.isEmpty()) {
                return Optional.empty();
            }
            items.add(item.get());
        }
        return Optional.of(new Sequence(start, items));
    }

    private ScalarKind kind(JsonToken token) {
        return switch (token) {
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT ->
                parser instanceof YAMLParser ? ScalarKind.PLAIN_NUMBER : ScalarKind.NUMBER;
            case VALUE_TRUE, VALUE_FALSE -> ScalarKind.BOOLEAN;
            case VALUE_NULL -> ScalarKind.NULL;
            default -> ScalarKind.TEXT;
        };
    }

    private int line() {
        return Math.max(1, parser.currentTokenLocation().getLineNr());
    }
}
