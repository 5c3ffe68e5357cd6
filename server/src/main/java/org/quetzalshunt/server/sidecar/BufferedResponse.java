package org.quetzalshunt.server.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.server.http.HttpResponseListener;
import org.quetzalshunt.wire.json.Json;

/**
 * A complete short response of the engine or the platform.
 *
 * @param status HTTP status
 * @param retryAfterSeconds value of {@code Retry-After} if it is a number
 * @param body body
 */
record BufferedResponse(int status, Optional<Integer> retryAfterSeconds, byte[] body) {
    /** Large enough for a list of ten thousand cache entries. */
    private static final int MAXIMUM_BYTES = 2 * 1024 * 1024;

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    /** The parsed body; empty unless the response is a success with a JSON body. */
    Optional<JsonNode> json() {
        return isSuccess() ? Json.parse(body) : Optional.empty();
    }

    /** A listener that buffers the response and passes it to the receiver; empty when it did not complete. */
    static HttpResponseListener collect(Consumer<Optional<BufferedResponse>> receiver) {
        return new Collector(receiver);
    }

    private static final class Collector implements HttpResponseListener {
        private final Consumer<Optional<BufferedResponse>> receiver;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private boolean tooLarge;
        private int status;
        private Optional<Integer> retryAfter = Optional.empty();

        private Collector(Consumer<Optional<BufferedResponse>> receiver) {
            this.receiver = receiver;
        }

        @Override
        public void onHead(int newStatus, HttpHeaders headers) {
            status = newStatus;
            retryAfter = Optional.ofNullable(headers.getInt("retry-after"));
        }

        @Override
        public void onChunk(byte[] data) {
            tooLarge = tooLarge || body.size() + data.length > MAXIMUM_BYTES;
            if (!tooLarge) {
                body.writeBytes(data);
            }
        }

        @Override
        public boolean exceedsLimit() {
            return tooLarge;
        }

        @Override
        public void onEnd() {
            receiver.accept(Optional.of(new BufferedResponse(status, retryAfter, body.toByteArray())));
        }

        @Override
        public void onFailure(String reason, boolean requestMayHaveArrived) {
            receiver.accept(Optional.empty());
        }
    }
}
