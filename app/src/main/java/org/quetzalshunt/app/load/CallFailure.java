package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.wire.json.Json;

/**
 * Failure of a call.
 *
 * @param code result code number; {@link #NO_CODE} if the connection broke or the error body contains no code
 * @param retryAfterMillis delay before a retry; empty if the call must not be retried
 */
record CallFailure(int code, OptionalLong retryAfterMillis) {
    static final int NO_CODE = -1;
    private static final long RETRY_AFTER_BROKEN_CONNECTION_MILLIS = 200;

    /** A call whose connection broke can be retried, because its idempotency key prevents a second execution. */
    static CallFailure connectionBroken() {
        return new CallFailure(NO_CODE, OptionalLong.of(RETRY_AFTER_BROKEN_CONNECTION_MILLIS));
    }

    static CallFailure parse(byte[] body) {
        return parse(Json.parse(body).orElse(Json.object()).path("error"));
    }

    /** Parses an error object. A retry is allowed only if the error says that the call did not run. */
    static CallFailure parse(JsonNode error) {
        boolean isRetryable = error.has("retryAfterMillis")
                && error.path("execution").asText().equals(Execution.NOT_RUN.label());
        OptionalLong retryAfterMillis =
                isRetryable ? OptionalLong.of(error.path("retryAfterMillis").asLong()) : OptionalLong.empty();
        return new CallFailure(error.path("code").asInt(NO_CODE), retryAfterMillis);
    }
}
