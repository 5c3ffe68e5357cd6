package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalshunt.standin.engine.StandinAnswer;

/**
 * A streamed answer that came with its end mark.
 *
 * @param finishReason {@code stop}, or {@code length} where a bound on tokens ended it
 */
record ChatAnswer(String text, String finishReason) {
    private static final String LENGTH = "length";

    boolean shortened() {
        return finishReason.equals(LENGTH);
    }

    /** Whether the stand-in engine gives this answer to these messages; a shortened one must be their beginning. */
    boolean belongsTo(JsonNode messages) {
        int limit = shortened() ? text.split(" ").length : Integer.MAX_VALUE;
        return text.equals(StandinAnswer.to(messages, limit).text());
    }
}
