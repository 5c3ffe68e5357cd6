package org.quetzalshunt.server.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalshunt.core.program.Digests;
import org.quetzalshunt.core.result.Outcome;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.wire.json.Json;

/**
 * Validated body of a chat completion request (OpenAI API reference, "Create chat completion").
 *
 * @param service name of the service, from the field {@code model}
 * @param messages the messages in canonical encoding
 * @param stream whether the caller requested a stream of server-sent events
 * @param includeUsage whether the caller requested a usage chunk
 * @param maximumTokens limit on generated tokens; 0 if the caller set none
 * @param passthroughFields fields that are copied unchanged into the request to the engine
 * @param digest SHA-256 of the body
 */
record ChatBody(
        String service,
        List<byte[]> messages,
        boolean stream,
        boolean includeUsage,
        int maximumTokens,
        ObjectNode passthroughFields,
        byte[] digest) {
    private static final Set<String> INTERPRETED_FIELDS =
            Set.of("model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n");
    private static final List<String> MESSAGE_FIELDS = List.of("role", "content", "name", "tool_call_id", "tool_calls");
    private static final Set<String> ROLES = Set.of("system", "developer", "user", "assistant", "tool", "function");

    /** Parses and validates a body; the refusal names the first invalid field. */
    static Outcome<ChatBody> read(byte[] body) {
        if (!isUtf8(body)) {
            return refuse(ResultCode.INVALID_ENCODING, "invalid UTF-8");
        }
        Optional<JsonNode> parsed = Json.parse(body);
        if (parsed.isEmpty()) {
            return refuse(ResultCode.MALFORMED_REQUEST, "the body is not one JSON value");
        }
        JsonNode root = parsed.get();
        if (!root.isObject()) {
            return refuse(ResultCode.INVALID_FIELD, "the body must be an object");
        }
        return read((ObjectNode) root, body);
    }

    private static Outcome<ChatBody> read(ObjectNode root, byte[] body) {
        if (!root.path("model").isTextual()) {
            return refuse(ResultCode.INVALID_FIELD, "model must be a string");
        }
        if (!root.path("messages").isArray() || root.path("messages").isEmpty()) {
            return refuse(ResultCode.INVALID_FIELD, "messages must be an array with at least one message");
        }
        if (root.has("stream") && !root.get("stream").isBoolean()) {
            return refuse(ResultCode.INVALID_FIELD, "stream must be a boolean");
        }
        if (root.path("n").asInt(1) != 1) {
            return refuse(ResultCode.INVALID_FIELD, "n must be 1");
        }
        Optional<JsonNode> tokenLimit = Optional.ofNullable(root.get("max_completion_tokens"))
                .or(() -> Optional.ofNullable(root.get("max_tokens")))
                .filter(node -> !node.isNull());
        if (tokenLimit.isPresent()
                && (!tokenLimit.get().canConvertToInt()
                        || !tokenLimit.get().isIntegralNumber()
                        || tokenLimit.get().asInt() < 1)) {
            return refuse(ResultCode.INVALID_FIELD, "max_tokens must be a positive integer");
        }
        List<byte[]> messages = new ArrayList<>();
        for (JsonNode message : root.get("messages")) {
            if (!message.isObject() || !ROLES.contains(message.path("role").asText())) {
                return refuse(ResultCode.INVALID_FIELD, "messages[" + messages.size() + "].role is missing or unknown");
            }
            messages.add(canonical(message));
        }
        ObjectNode passthrough = root.deepCopy();
        passthrough.remove(INTERPRETED_FIELDS);
        return Outcome.success(new ChatBody(
                root.get("model").asText(),
                messages,
                root.path("stream").asBoolean(false),
                root.path("stream_options").path("include_usage").asBoolean(false),
                tokenLimit.map(JsonNode::asInt).orElse(0),
                passthrough,
                Digests.sha256(body)));
    }

    /**
     * Canonical encoding of a message: only the fields that a model reads, in a fixed order. A client that sends back
     * an earlier completion with other fields added or omitted thus still extends the same history.
     */
    static byte[] canonical(JsonNode message) {
        ObjectNode canonical = Json.object();
        for (String field : MESSAGE_FIELDS) {
            JsonNode value = message.get(field);
            if (value != null && !value.isNull() && !(value.isArray() && value.isEmpty())) {
                canonical.set(field, value);
            }
        }
        if (!canonical.has("content")) {
            canonical.put("content", "");
        }
        return Json.bytes(canonical);
    }

    /** Body of the request to the engine. It always requests streaming and usage, to track progress and cost. */
    byte[] engineBody(List<byte[]> prompt, int maximumOutputTokens) {
        ObjectNode root = Json.object();
        root.put("model", service);
        root.put("stream", true);
        root.putObject("stream_options").put("include_usage", true);
        root.put("max_tokens", maximumOutputTokens);
        for (Map.Entry<String, JsonNode> field : passthroughFields.properties()) {
            root.set(field.getKey(), field.getValue());
        }
        byte[] object = Json.bytes(root);
        return JsonSplice.withMessages(object, prompt);
    }

    private static boolean isUtf8(byte[] body) {
        try {
            StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .onUnmappableCharacter(CodingErrorAction.REPORT)
                    .decode(ByteBuffer.wrap(body));
            return true;
        } catch (CharacterCodingException invalid) {
            return false;
        }
    }

    private static Outcome<ChatBody> refuse(ResultCode code, String detail) {
        return Outcome.failure(Refusal.notRun(code, detail));
    }
}
