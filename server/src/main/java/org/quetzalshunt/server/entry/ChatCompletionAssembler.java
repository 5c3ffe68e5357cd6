package org.quetzalshunt.server.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.quetzalshunt.core.program.TokenUsage;
import org.quetzalshunt.wire.json.Json;

/**
 * Assembles the chunks of a streamed chat completion (OpenAI API reference, "The chat completion chunk object") into
 * one completion, and writes it as a JSON body or as a stream of events.
 */
final class ChatCompletionAssembler {
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
    private static final byte[] DATA_PREFIX = "data: ".getBytes(StandardCharsets.UTF_8);
    private static final byte[] EVENT_END = "\n\n".getBytes(StandardCharsets.UTF_8);

    private final String id;
    private final String model;
    private final long createdSeconds;
    private final StringBuilder content = new StringBuilder();
    private final Map<Integer, ObjectNode> toolCalls = new TreeMap<>();
    private String finishReason = "stop";
    private long deltas;
    private long argumentsLength;

    ChatCompletionAssembler(String requestId, String model, long nowMillis) {
        this.id = "chatcmpl-" + requestId;
        this.model = model;
        this.createdSeconds = nowMillis / 1_000;
    }

    /**
     * Adds a chunk and returns the event to forward; empty for a usage chunk, a final chunk without content, and a
     * chunk that is not a JSON object.
     */
    Optional<byte[]> add(byte[] chunk) {
        Optional<JsonNode> parsed = Json.parse(chunk).filter(JsonNode::isObject);
        if (parsed.isEmpty()) {
            return Optional.empty();
        }
        ObjectNode root = (ObjectNode) parsed.get();
        JsonNode choice = root.path("choices").path(0);
        JsonNode delta = choice.path("delta");
        content.append(delta.path("content").asText(""));
        delta.path("tool_calls").forEach(this::addToolCall);
        boolean last = choice.path("finish_reason").isTextual();
        if (last) {
            finishReason = choice.get("finish_reason").asText();
        }
        if (choice.isMissingNode()) {
            return Optional.empty();
        }
        deltas++;
        if (last
                && delta.path("content").asText("").isEmpty()
                && delta.path("tool_calls").isEmpty()) {
            return Optional.empty();
        }
        root.put("id", id);
        root.put("model", model);
        root.remove("usage");
        if (last) {
            ((ObjectNode) choice).putNull("finish_reason");
        }
        return Optional.of(sseEvent(root));
    }

    /** Number of chunks that carried a part of the completion: a lower bound on the generated tokens. */
    long deltas() {
        return deltas;
    }

    /** Size of the completion so far, in characters. */
    long size() {
        return content.length() + argumentsLength;
    }

    private void addToolCall(JsonNode part) {
        ObjectNode call = toolCalls.computeIfAbsent(part.path("index").asInt(0), index -> Json.object());
        if (part.path("id").isTextual()) {
            call.set("id", part.get("id"));
            call.put("type", part.path("type").asText("function"));
        }
        JsonNode function = part.path("function");
        ObjectNode assembled = call.has("function") ? (ObjectNode) call.get("function") : call.putObject("function");
        if (function.path("name").isTextual()) {
            assembled.set("name", function.get("name"));
        }
        argumentsLength += function.path("arguments").asText("").length();
        assembled.put(
                "arguments",
                assembled.path("arguments").asText("")
                        + function.path("arguments").asText(""));
    }

    /** The assistant's message. */
    ObjectNode message() {
        ObjectNode message = Json.object();
        message.put("role", "assistant");
        message.put("content", content.toString());
        if (!toolCalls.isEmpty()) {
            ArrayNode calls = message.putArray("tool_calls");
            toolCalls.values().forEach(calls::add);
        }
        return message;
    }

    /** The completion as one JSON body. */
    byte[] body(TokenUsage usage) {
        ObjectNode root = envelope("chat.completion");
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        choice.set("message", message());
        choice.put("finish_reason", finishReason);
        root.set("usage", usageNode(usage));
        return Json.bytes(root);
    }

    /** The events that close a stream: the finish reason, the usage if requested, and the end marker. */
    List<byte[]> closingEvents(TokenUsage usage, boolean includeUsage) {
        List<byte[]> events = new ArrayList<>();
        ObjectNode finish = envelope("chat.completion.chunk");
        ObjectNode choice = finish.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("delta");
        choice.put("finish_reason", finishReason);
        events.add(sseEvent(finish));
        if (includeUsage) {
            ObjectNode last = envelope("chat.completion.chunk");
            last.putArray("choices");
            last.set("usage", usageNode(usage));
            events.add(sseEvent(last));
        }
        events.add(DONE);
        return events;
    }

    /** Converts a stored JSON body to a stream of events, for a re-send that requests streaming. */
    static List<byte[]> replayEvents(byte[] body, boolean includeUsage) {
        JsonNode stored = Json.parse(body).orElseGet(Json::object);
        List<byte[]> events = new ArrayList<>();
        ObjectNode chunk = chunkEnvelope(stored);
        ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        ObjectNode delta =
                (ObjectNode) stored.path("choices").path(0).path("message").deepCopy();
        ArrayNode calls = delta.withArrayProperty("tool_calls");
        for (int index = 0; index < calls.size(); index++) {
            ((ObjectNode) calls.get(index)).put("index", index);
        }
        if (calls.isEmpty()) {
            delta.remove("tool_calls");
        }
        choice.set("delta", delta);
        choice.putNull("finish_reason");
        events.add(sseEvent(chunk));
        ObjectNode finish = chunkEnvelope(stored);
        ObjectNode last = finish.putArray("choices").addObject();
        last.put("index", 0);
        last.putObject("delta");
        last.set("finish_reason", stored.path("choices").path(0).path("finish_reason"));
        events.add(sseEvent(finish));
        if (includeUsage) {
            ObjectNode usage = chunkEnvelope(stored);
            usage.putArray("choices");
            usage.set("usage", stored.path("usage"));
            events.add(sseEvent(usage));
        }
        events.add(DONE);
        return events;
    }

    /** Encodes a JSON value as a server-sent event. */
    static byte[] sseEvent(JsonNode value) {
        byte[] json = Json.bytes(value);
        byte[] event = new byte[DATA_PREFIX.length + json.length + EVENT_END.length];
        System.arraycopy(DATA_PREFIX, 0, event, 0, DATA_PREFIX.length);
        System.arraycopy(json, 0, event, DATA_PREFIX.length, json.length);
        System.arraycopy(EVENT_END, 0, event, DATA_PREFIX.length + json.length, EVENT_END.length);
        return event;
    }

    private static ObjectNode chunkEnvelope(JsonNode stored) {
        ObjectNode chunk = Json.object();
        chunk.set("id", stored.path("id"));
        chunk.put("object", "chat.completion.chunk");
        chunk.set("created", stored.path("created"));
        chunk.set("model", stored.path("model"));
        return chunk;
    }

    private ObjectNode envelope(String object) {
        ObjectNode root = Json.object();
        root.put("id", id);
        root.put("object", object);
        root.put("created", createdSeconds);
        root.put("model", model);
        return root;
    }

    private static ObjectNode usageNode(TokenUsage usage) {
        ObjectNode node = Json.object();
        node.put("prompt_tokens", usage.promptTokens());
        node.put("completion_tokens", usage.completionTokens());
        node.put("total_tokens", usage.promptTokens() + usage.completionTokens());
        node.putObject("prompt_tokens_details").put("cached_tokens", usage.cachedTokens());
        return node;
    }
}
