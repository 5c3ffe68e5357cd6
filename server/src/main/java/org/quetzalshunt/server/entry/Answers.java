package org.quetzalshunt.server.entry;

import java.util.HashMap;
import java.util.Map;
import org.quetzalshunt.core.program.StoredAnswer;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.server.http.ErrorBodies;
import org.quetzalshunt.server.http.ResponseSink;
import org.quetzalshunt.wire.json.Json;

/** Sends answers and refusals to a caller, whatever was sent before. */
final class Answers {
    static final String EVENT_STREAM = "text/event-stream";

    private Answers() {}

    /** Headers of every answer: which request it was. */
    static Map<String, String> headers(String requestId, String contentType) {
        Map<String, String> headers = new HashMap<>();
        headers.put("content-type", contentType);
        headers.put(CallerHeaders.REQUEST, requestId);
        return headers;
    }

    /**
     * Tells a refusal. In a stream that has begun it comes as an error event and the end mark is left out, so that a
     * client can't take a part for the whole.
     */
    static void refuse(ResponseSink sink, Refusal refusal, String requestId) {
        if (!sink.started()) {
            ErrorBodies.send(sink, refusal, requestId);
            return;
        }
        sink.write(ChatAnswer.event(
                Json.parse(ErrorBodies.json(refusal, requestId)).orElseThrow()));
        sink.abort();
    }

    /** Sends a kept answer. */
    static void stored(ResponseSink sink, StoredAnswer answer, String requestId) {
        sink.respond(answer.status(), headers(requestId, answer.contentType()), answer.body());
    }
}
