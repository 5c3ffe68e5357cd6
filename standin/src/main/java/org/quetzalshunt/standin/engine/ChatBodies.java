package org.quetzalshunt.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.quetzalshunt.wire.json.Json;

/** Builds chat completion objects (OpenAI API) and their chunks as server-sent events (WHATWG HTML, section 9.2). */
final class ChatBodies {
    static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final String id;
    private final String model;
    private final long createdSeconds;

    private ChatBodies(String id, String model, long createdSeconds) {
        this.id = id;
        this.model = model;
        this.createdSeconds = createdSeconds;
    }

    static ChatBodies of(String id, String model, long createdSeconds) {
        return new ChatBodies("chatcmpl-" + id, model, createdSeconds);
    }

    byte[] completion(StandinAnswer answer, ObjectNode usage) {
        ObjectNode root = frame("chat.completion");
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", answer.text());
        choice.put("finish_reason", finishReason(answer));
        root.set("usage", usage);
        return Json.bytes(root);
    }

    /** Event with one word. The event of the first word also contains the role. */
    byte[] wordEvent(StandinAnswer answer, int index) {
        ObjectNode root = frame("chat.completion.chunk");
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        if (index == 0) {
            delta.put("role", "assistant");
        }
        String word = answer.words().get(index);
        delta.put("content", index == 0 ? word : " " + word);
        choice.putNull("finish_reason");
        return event(root);
    }

    byte[] finishEvent(StandinAnswer answer) {
        ObjectNode root = frame("chat.completion.chunk");
        ObjectNode choice = root.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta");
        choice.put("finish_reason", finishReason(answer));
        return event(root);
    }

    byte[] usageEvent(ObjectNode usage) {
        ObjectNode root = frame("chat.completion.chunk");
        root.putArray("choices");
        root.set("usage", usage);
        return event(root);
    }

    static ObjectNode usage(int promptTokens, int cachedTokens, int completionTokens) {
        ObjectNode usage = Json.object()
                .put("prompt_tokens", promptTokens)
                .put("completion_tokens", completionTokens)
                .put("total_tokens", promptTokens + completionTokens);
        usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
        return usage;
    }

    private ObjectNode frame(String object) {
        return Json.object()
                .put("id", id)
                .put("object", object)
                .put("created", createdSeconds)
                .put("model", model);
    }

    private static String finishReason(StandinAnswer answer) {
        return answer.complete() ? "stop" : "length";
    }

    private static byte[] event(JsonNode node) {
        return ("data: " + new String(Json.bytes(node), StandardCharsets.UTF_8) + "\n\n")
                .getBytes(StandardCharsets.UTF_8);
    }
}
