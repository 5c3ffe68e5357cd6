package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalshunt.standin.engine.StandinAnswer;

/**
 * A streamed answer that was received up to its end marker.
 *
 * @param finishReason {@code stop}, or {@code length} if it ended at a token limit
 */
record ChatAnswer(String text, String finishReason) {
    private static final String LENGTH = "length";

    boolean isShortened() {
        return finishReason.equals(LENGTH);
    }

    /** Whether the text equals the stand-in engine's answer to the messages or, if shortened, the start of it. */
    boolean matchesStandin(JsonNode messages) {
        int limit = isShortened() ? text.split(" ").length : Integer.MAX_VALUE;
        return text.equals(StandinAnswer.to(messages, limit).text());
    }
}
