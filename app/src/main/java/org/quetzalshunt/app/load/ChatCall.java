package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.quetzalshunt.server.http.HttpResponseListener;
import org.quetzalshunt.wire.json.Json;

/** Reads one streamed chat completion and records the latencies of its tokens. */
final class ChatCall implements HttpResponseListener {
    private static final int OK = 200;
    private static final String END_MARKER = "[DONE]";

    private final LoadClock clock;
    private final long dueMicros;
    private final AccountResult result;
    private final Consumer<ChatAnswer> onAnswer;
    private final Consumer<CallFailure> onFailure;
    private final SseReader events = SseReader.create(this::onEvent);
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private final StringBuilder text = new StringBuilder();
    private String finishReason = "";
    private int status;
    private long lastTokenMicros;
    private boolean hasEndMarker;
    private CallFailure failureInStream;

    private ChatCall(
            LoadClock clock,
            long dueMicros,
            AccountResult result,
            Consumer<ChatAnswer> onAnswer,
            Consumer<CallFailure> onFailure) {
        this.clock = clock;
        this.dueMicros = dueMicros;
        this.result = result;
        this.onAnswer = onAnswer;
        this.onFailure = onFailure;
    }

    /** Creates a call whose latency to the first token is measured from {@code dueMicros}, even if it is sent later. */
    static ChatCall create(
            LoadClock clock,
            long dueMicros,
            AccountResult result,
            Consumer<ChatAnswer> onAnswer,
            Consumer<CallFailure> onFailure) {
        return new ChatCall(clock, dueMicros, result, onAnswer, onFailure);
    }

    @Override
    public void onHead(int newStatus, HttpHeaders headers) {
        status = newStatus;
    }

    @Override
    public void onChunk(byte[] data) {
        if (status == OK) {
            events.read(data);
            return;
        }
        errorBody.writeBytes(data);
    }

    @Override
    public void onEnd() {
        if (status != OK) {
            onFailure.accept(CallFailure.parse(errorBody.toByteArray()));
        } else if (hasEndMarker) {
            onAnswer.accept(new ChatAnswer(text.toString(), finishReason));
        } else if (failureInStream != null) {
            onFailure.accept(failureInStream);
        } else {
            result.recordCutAnswer();
            onFailure.accept(CallFailure.connectionBroken());
        }
    }

    @Override
    public void onFailure(String reason, boolean requestMayHaveArrived) {
        if (text.length() > 0) {
            result.recordCutAnswer();
        }
        onFailure.accept(CallFailure.connectionBroken());
    }

    private void onEvent(String data) {
        if (data.equals(END_MARKER)) {
            hasEndMarker = true;
            return;
        }
        JsonNode chunk = Json.parse(data.getBytes(StandardCharsets.UTF_8)).orElse(Json.object());
        if (chunk.has("error")) {
            failureInStream = CallFailure.parse(chunk.path("error"));
            return;
        }
        finishReason = chunk.at("/choices/0/finish_reason").asText(finishReason);
        String content = chunk.at("/choices/0/delta/content").asText("");
        if (content.isEmpty()) {
            return;
        }
        recordToken();
        text.append(content);
    }

    private void recordToken() {
        long now = clock.micros();
        if (text.length() == 0) {
            result.recordFirstToken(now - dueMicros);
        } else {
            result.recordTokenInterval(now - lastTokenMicros);
        }
        lastTokenMicros = now;
    }
}
