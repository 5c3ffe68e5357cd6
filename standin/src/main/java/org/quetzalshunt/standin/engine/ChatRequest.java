package org.quetzalshunt.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.wire.json.Json;

/**
 * A chat completion request (OpenAI API) with the engine's additional headers.
 *
 * @param priority lower values are more urgent; 0 is the most urgent
 * @param cacheKey key of the cache entry that the request extends and that stays held; empty: no entry is held
 */
record ChatRequest(
        String model,
        JsonNode messages,
        boolean stream,
        boolean includeUsage,
        int maximumTokens,
        int priority,
        Optional<String> cacheKey) {
    private static final int DEFAULT_PRIORITY = 10;

    /** Parses a request; empty if it has no messages. */
    static Optional<ChatRequest> parse(HttpExchange exchange) {
        JsonNode body = Json.parse(exchange.body()).orElse(Json.object());
        JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            return Optional.empty();
        }
        JsonNode completionLimit = body.path("max_completion_tokens");
        return Optional.of(new ChatRequest(
                body.path("model").asText(""),
                messages,
                body.path("stream").asBoolean(false),
                body.path("stream_options").path("include_usage").asBoolean(false),
                completionLimit.isMissingNode()
                        ? body.path("max_tokens").asInt(Integer.MAX_VALUE)
                        : completionLimit.asInt(Integer.MAX_VALUE),
                priority(exchange),
                exchange.header("X-Cache-Key")));
    }

    boolean contains(String text) {
        for (JsonNode message : messages) {
            if (StandinAnswer.content(message).contains(text)) {
                return true;
            }
        }
        return false;
    }

    int promptTokens() {
        int tokens = 0;
        for (JsonNode message : messages) {
            tokens += StandinAnswer.tokens(message);
        }
        return tokens;
    }

    private static int priority(HttpExchange exchange) {
        try {
            return exchange.header("X-Priority").map(Integer::parseInt).orElse(DEFAULT_PRIORITY);
        } catch (NumberFormatException malformed) {
            return DEFAULT_PRIORITY;
        }
    }
}
