package org.quetzalshunt.server.entry;

import java.util.HashMap;
import java.util.Map;
import org.quetzalshunt.core.program.StoredAnswer;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.server.http.ErrorBodies;
import org.quetzalshunt.server.http.ResponseSink;
import org.quetzalshunt.wire.json.Json;

/** Writes responses and error responses to a caller, including errors after the response has begun. */
final class CallerResponses {
    static final String EVENT_STREAM = "text/event-stream";

    private CallerResponses() {}

    /** Headers of every response: the content type and the request id. */
    static Map<String, String> headers(String requestId, String contentType) {
        Map<String, String> headers = new HashMap<>();
        headers.put("content-type", contentType);
        headers.put(CallerHeaders.REQUEST, requestId);
        return headers;
    }

    /**
     * Sends an error. If the response has begun, the error is sent as an event and the connection is aborted without
     * the end marker, so that a client cannot mistake a truncated response for a complete one.
     */
    static void sendError(ResponseSink sink, Refusal refusal, String requestId) {
        if (!sink.started()) {
            ErrorBodies.send(sink, refusal, requestId);
            return;
        }
        sink.write(ChatCompletionAssembler.sseEvent(
                Json.parse(ErrorBodies.json(refusal, requestId)).orElseThrow()));
        sink.abort();
    }

    /** Sends the stored response of an earlier request. */
    static void sendStored(ResponseSink sink, StoredAnswer answer, String requestId) {
        sink.respond(answer.status(), headers(requestId, answer.contentType()), answer.body());
    }
}
