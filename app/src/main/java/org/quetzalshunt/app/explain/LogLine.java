package org.quetzalshunt.app.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.wire.json.Json;

/** One structured line of a gateway's log. */
record LogLine(JsonNode fields) {
    private static final String REQUEST = "request";
    private static final String REFUSED = "refused";

    /** Decodes a line that may have a prefix before its JSON object; empty if it is truncated or not a log event. */
    static Optional<LogLine> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        return Json.parse(text.substring(start).getBytes(StandardCharsets.UTF_8))
                .filter(node ->
                        node.path("event").isTextual() && node.path("time").isNumber())
                .map(LogLine::new);
    }

    /** Time of writing, in Unix milliseconds by the VM's clock. */
    long timeMillis() {
        return fields.path("time").asLong();
    }

    String vm() {
        return text("vm");
    }

    String event() {
        return text("event");
    }

    /** Whether this line records the end of a request: its final answer or a refusal. */
    boolean endsRequest() {
        return event().equals(REQUEST) || event().equals(REFUSED);
    }

    /** Time at which the request arrived, in Unix milliseconds. */
    long arrivedMillis() {
        return timeMillis() - number("tookMillis").orElse(0);
    }

    ResultCode code() {
        return ResultCode.fromNumber(fields.path("code").asInt());
    }

    /** Text of a field, or an empty string if it is missing. */
    String text(String field) {
        return fields.path(field).asText("");
    }

    OptionalLong number(String field) {
        JsonNode value = fields.path(field);
        return value.isNumber() ? OptionalLong.of(value.asLong()) : OptionalLong.empty();
    }

    /** Whether this line belongs to the request or the program with this id. */
    boolean concerns(String id) {
        return text("request").equals(id) || text("program").equals(id);
    }
}
