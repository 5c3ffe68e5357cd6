package org.quetzalshunt.server.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.wire.json.Json;

/** Writes every error body in the same form: the OpenAI-style {@code error} object plus the numbered code. */
public final class ErrorBodies {
    private static final long MILLIS_PER_SECOND = 1_000;

    private ErrorBodies() {}

    /** The error body as JSON bytes. */
    public static byte[] json(Refusal refusal, String requestId) {
        ObjectNode error = Json.object();
        error.put("message", refusal.code().meaning() + ": " + refusal.detail());
        error.put("type", "quetzalshunt_error");
        error.put("code", refusal.code().number());
        error.put("name", refusal.code().name().toLowerCase(java.util.Locale.ROOT));
        error.put("execution", refusal.execution().label());
        error.put("requestId", requestId);
        error.put("retry", refusal.retryAfterMillis().isPresent());
        refusal.retryAfterMillis().ifPresent(millis -> error.put("retryAfterMillis", millis));
        ObjectNode root = Json.object();
        root.set("error", error);
        return Json.bytes(root);
    }

    /** Sends a refusal as a complete response, with {@code Retry-After} if a retry is useful. */
    public static void send(ResponseSink sink, Refusal refusal, String requestId) {
        Map<String, String> headers = new HashMap<>();
        headers.put("content-type", "application/json");
        headers.put("quetzalshunt-request", requestId);
        headers.put("quetzalshunt-code", Integer.toString(refusal.code().number()));
        refusal.retryAfterMillis().ifPresent(millis -> headers.put("retry-after", Long.toString(roundUp(millis))));
        sink.respond(refusal.code().status(), headers, json(refusal, requestId));
    }

    private static long roundUp(long millis) {
        return Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }
}
