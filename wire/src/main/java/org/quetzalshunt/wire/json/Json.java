package org.quetzalshunt.wire.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;

/** Parses and writes JSON trees. */
public final class Json {
    private static final int MAXIMUM_DEPTH = 64;
    private static final ObjectMapper MAPPER = new ObjectMapper(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAXIMUM_DEPTH)
                            .build())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private Json() {}

    /** Creates an empty object. */
    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Creates an empty array. */
    public static ArrayNode array() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /** Parses bytes; empty unless they are exactly one JSON value. */
    public static Optional<JsonNode> parse(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node == null || node.isMissingNode() ? Optional.empty() : Optional.of(node);
        } catch (IOException malformed) {
            return Optional.empty();
        }
    }

    /** Writes a tree as UTF-8. */
    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /** Writes a tree as indented text for human readers. */
    public static String pretty(JsonNode node) {
        return node.toPrettyString();
    }
}
