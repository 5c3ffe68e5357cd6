package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;
import org.quetzalshunt.server.http.HttpResponseListener;
import org.quetzalshunt.wire.json.Json;

/** Reads one response whose body is a JSON value. */
final class JsonCall implements HttpResponseListener {
    private static final int FIRST_ERROR_STATUS = 400;

    private final Consumer<JsonNode> onResponse;
    private final Consumer<CallFailure> onFailure;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;

    private JsonCall(Consumer<JsonNode> onResponse, Consumer<CallFailure> onFailure) {
        this.onResponse = onResponse;
        this.onFailure = onFailure;
    }

    static JsonCall create(Consumer<JsonNode> onResponse, Consumer<CallFailure> onFailure) {
        return new JsonCall(onResponse, onFailure);
    }

    @Override
    public void onHead(int newStatus, HttpHeaders headers) {
        status = newStatus;
    }

    @Override
    public void onChunk(byte[] data) {
        body.writeBytes(data);
    }

    @Override
    public void onEnd() {
        if (status >= FIRST_ERROR_STATUS) {
            onFailure.accept(CallFailure.parse(body.toByteArray()));
            return;
        }
        onResponse.accept(Json.parse(body.toByteArray()).orElse(Json.object()));
    }

    @Override
    public void onFailure(String reason, boolean requestMayHaveArrived) {
        onFailure.accept(CallFailure.connectionBroken());
    }
}
