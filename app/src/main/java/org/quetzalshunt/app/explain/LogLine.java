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

    /** Decodes a line, which may have a prefix before its JSON object; empty for a line that is cut or of another kind. */
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

    /** When it was written, in Unix milliseconds of its VM. */
    long timeMillis() {
        return fields.path("time").asLong();
    }

    String vm() {
        return text("vm");
    }

    String event() {
        return text("event");
    }

    /** Whether it tells the final answer to a request. */
    boolean endsRequest() {
        return event().equals(REQUEST) || event().equals(REFUSED);
    }

    /** When the request had arrived, in Unix milliseconds. */
    long arrivedMillis() {
        return timeMillis() - number("tookMillis").orElse(0);
    }

    ResultCode code() {
        return ResultCode.fromNumber(fields.path("code").asInt());
    }

    /** A field's text, or nothing. */
    String text(String field) {
        return fields.path(field).asText("");
    }

    OptionalLong number(String field) {
        JsonNode value = fields.path(field);
        return value.isNumber() ? OptionalLong.of(value.asLong()) : OptionalLong.empty();
    }

    /** Whether it is the line of a request, or of a program, with this id. */
    boolean concerns(String id) {
        return text("request").equals(id) || text("program").equals(id);
    }
}
