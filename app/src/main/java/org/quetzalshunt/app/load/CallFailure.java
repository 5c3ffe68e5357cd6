package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.wire.json.Json;

/**
 * Why a call got no answer.
 *
 * @param code numbered code; {@link #NO_CODE} when the connection broke or the body named none
 * @param retryAfterMillis when to come back, if that is of use
 */
record CallFailure(int code, OptionalLong retryAfterMillis) {
    static final int NO_CODE = -1;
    private static final long RETRY_AFTER_BROKEN_CONNECTION_MILLIS = 200;

    /** A broken connection may be retried: the idempotency key keeps the call from running twice. */
    static CallFailure broken() {
        return new CallFailure(NO_CODE, OptionalLong.of(RETRY_AFTER_BROKEN_CONNECTION_MILLIS));
    }

    static CallFailure read(byte[] body) {
        return read(Json.parse(body).orElse(Json.object()).path("error"));
    }

    /** Reads an error object; only what did not run is retried. */
    static CallFailure read(JsonNode error) {
        boolean retry = error.has("retryAfterMillis")
                && error.path("execution").asText().equals(Execution.NOT_RUN.label());
        OptionalLong after =
                retry ? OptionalLong.of(error.path("retryAfterMillis").asLong()) : OptionalLong.empty();
        return new CallFailure(error.path("code").asInt(NO_CODE), after);
    }
}
