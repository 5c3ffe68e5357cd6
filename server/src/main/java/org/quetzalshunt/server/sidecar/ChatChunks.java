package org.quetzalshunt.server.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.quetzalshunt.core.attempt.EndpointEvent;
import org.quetzalshunt.core.attempt.TokenUsage;
import org.quetzalshunt.wire.json.Json;

/** Extracts the usage figures and the finish reason from the chunks of a chat completion. */
final class ChatChunks {
    private static final byte[] END_MARKER = "[DONE]".getBytes(StandardCharsets.UTF_8);

    private ChatChunks() {}

    static boolean isEndMarker(byte[] data) {
        return Arrays.equals(data, END_MARKER);
    }

    /** Usage and finish reason in a chunk; empty if the chunk contains neither or is not valid JSON. */
    static Optional<EndpointEvent.ResponseMetadata> parse(long attempt, int run, byte[] data) {
        Optional<JsonNode> chunk = Json.parse(data);
        if (chunk.isEmpty()) {
            return Optional.empty();
        }
        Optional<TokenUsage> usage = usage(chunk.get().path("usage"));
        Optional<String> reason = text(chunk.get().path("choices").path(0).path("finish_reason"));
        if (usage.isEmpty() && reason.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new EndpointEvent.ResponseMetadata(attempt, run, usage, reason));
    }

    private static Optional<TokenUsage> usage(JsonNode usage) {
        if (!usage.isObject()) {
            return Optional.empty();
        }
        return Optional.of(new TokenUsage(
                usage.path("prompt_tokens").asLong(),
                usage.path("prompt_tokens_details").path("cached_tokens").asLong(),
                usage.path("completion_tokens").asLong()));
    }

    private static Optional<String> text(JsonNode node) {
        return node.isTextual() ? Optional.of(node.asText()) : Optional.empty();
    }
}
