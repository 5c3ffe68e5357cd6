package org.quetzalshunt.server.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.server.http.HttpResponseListener;
import org.quetzalshunt.wire.json.Json;

/**
 * A short answer of the engine or the platform, gathered whole.
 *
 * @param status HTTP status
 * @param retryAfterSeconds value of {@code Retry-After} where it is a number
 * @param body body, cut at the bound
 */
record WholeAnswer(int status, Optional<Integer> retryAfterSeconds, byte[] body) {
    /** A list of ten thousand cache entries fits. */
    private static final int MAXIMUM_BYTES = 2 * 1024 * 1024;

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    /** The body, where the answer is a success and JSON. */
    Optional<JsonNode> json() {
        return isSuccess() ? Json.parse(body) : Optional.empty();
    }

    /** A listener that gives the answer, or nothing when none came whole. */
    static HttpResponseListener gather(Consumer<Optional<WholeAnswer>> receiver) {
        return new Gathering(receiver);
    }

    private static final class Gathering implements HttpResponseListener {
        private final Consumer<Optional<WholeAnswer>> receiver;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private Optional<Integer> retryAfter = Optional.empty();

        private Gathering(Consumer<Optional<WholeAnswer>> receiver) {
            this.receiver = receiver;
        }

        @Override
        public void onHead(int newStatus, HttpHeaders headers) {
            status = newStatus;
            retryAfter = Optional.ofNullable(headers.getInt("retry-after"));
        }

        @Override
        public void onChunk(byte[] data) {
            if (body.size() + data.length <= MAXIMUM_BYTES) {
                body.writeBytes(data);
            }
        }

        @Override
        public void onEnd() {
            receiver.accept(Optional.of(new WholeAnswer(status, retryAfter, body.toByteArray())));
        }

        @Override
        public void onFailure(String reason, boolean requestMayHaveArrived) {
            receiver.accept(Optional.empty());
        }
    }
}
