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
import org.quetzalshunt.core.program.TurnUsage;
import org.quetzalshunt.wire.json.Json;

/**
 * Gathers the chunks of a streamed chat completion into one answer (OpenAI API reference, "The chat completion chunk
 * object"), and writes the answer in either form.
 */
final class ChatAnswer {
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
    private static final byte[] DATA = "data: ".getBytes(StandardCharsets.UTF_8);
    private static final byte[] END = "\n\n".getBytes(StandardCharsets.UTF_8);

    private final String id;
    private final String model;
    private final long createdSeconds;
    private final StringBuilder content = new StringBuilder();
    private final Map<Integer, ObjectNode> toolCalls = new TreeMap<>();
    private String finishReason = "stop";
    private long deltas;

    ChatAnswer(String requestId, String model, long nowMillis) {
        this.id = "chatcmpl-" + requestId;
        this.model = model;
        this.createdSeconds = nowMillis / 1_000;
    }

    /** Adds a chunk. The result is the event to pass on; empty for one that ends the answer, which is held back. */
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
        return Optional.of(event(root));
    }

    /** Chunks that carried a part of the answer: a lower bound on the tokens generated. */
    long deltas() {
        return deltas;
    }

    private void addToolCall(JsonNode part) {
        ObjectNode call = toolCalls.computeIfAbsent(part.path("index").asInt(0), index -> Json.object());
        if (part.path("id").isTextual()) {
            call.set("id", part.get("id"));
            call.put("type", part.path("type").asText("function"));
        }
        JsonNode function = part.path("function");
        ObjectNode kept = call.has("function") ? (ObjectNode) call.get("function") : call.putObject("function");
        if (function.path("name").isTextual()) {
            kept.set("name", function.get("name"));
        }
        kept.put(
                "arguments",
                kept.path("arguments").asText("") + function.path("arguments").asText(""));
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

    /** The whole answer as one JSON body. */
    byte[] body(TurnUsage usage) {
        ObjectNode root = head("chat.completion");
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        choice.set("message", message());
        choice.put("finish_reason", finishReason);
        root.set("usage", usageNode(usage));
        return Json.bytes(root);
    }

    /** The events that close a stream: the finish reason, the usage when wanted, the end mark. */
    List<byte[]> closing(TurnUsage usage, boolean includeUsage) {
        List<byte[]> events = new ArrayList<>();
        ObjectNode finish = head("chat.completion.chunk");
        ObjectNode choice = finish.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("delta");
        choice.put("finish_reason", finishReason);
        events.add(event(finish));
        if (includeUsage) {
            ObjectNode last = head("chat.completion.chunk");
            last.putArray("choices");
            last.set("usage", usageNode(usage));
            events.add(event(last));
        }
        events.add(DONE);
        return events;
    }

    /** A stored JSON body as a stream of events, for a re-send that asks for one. */
    static List<byte[]> replay(byte[] body, boolean includeUsage) {
        JsonNode stored = Json.parse(body).orElseGet(Json::object);
        List<byte[]> events = new ArrayList<>();
        ObjectNode chunk = chunkOf(stored);
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
        events.add(event(chunk));
        ObjectNode finish = chunkOf(stored);
        ObjectNode last = finish.putArray("choices").addObject();
        last.put("index", 0);
        last.putObject("delta");
        last.set("finish_reason", stored.path("choices").path(0).path("finish_reason"));
        events.add(event(finish));
        if (includeUsage) {
            ObjectNode usage = chunkOf(stored);
            usage.putArray("choices");
            usage.set("usage", stored.path("usage"));
            events.add(event(usage));
        }
        events.add(DONE);
        return events;
    }

    /** An event with a JSON value. */
    static byte[] event(JsonNode value) {
        byte[] json = Json.bytes(value);
        byte[] event = new byte[DATA.length + json.length + END.length];
        System.arraycopy(DATA, 0, event, 0, DATA.length);
        System.arraycopy(json, 0, event, DATA.length, json.length);
        System.arraycopy(END, 0, event, DATA.length + json.length, END.length);
        return event;
    }

    private static ObjectNode chunkOf(JsonNode stored) {
        ObjectNode chunk = Json.object();
        chunk.set("id", stored.path("id"));
        chunk.put("object", "chat.completion.chunk");
        chunk.set("created", stored.path("created"));
        chunk.set("model", stored.path("model"));
        return chunk;
    }

    private ObjectNode head(String object) {
        ObjectNode root = Json.object();
        root.put("id", id);
        root.put("object", object);
        root.put("created", createdSeconds);
        root.put("model", model);
        return root;
    }

    private static ObjectNode usageNode(TurnUsage usage) {
        ObjectNode node = Json.object();
        node.put("prompt_tokens", usage.promptTokens());
        node.put("completion_tokens", usage.completionTokens());
        node.put("total_tokens", usage.promptTokens() + usage.completionTokens());
        node.putObject("prompt_tokens_details").put("cached_tokens", usage.cachedTokens());
        return node;
    }
}
