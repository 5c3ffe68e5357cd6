package org.quetzalshunt.server.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.quetzalshunt.core.log.LogEntry;
import org.quetzalshunt.core.log.ReadAnswer;
import org.quetzalshunt.wire.json.Json;

/** Parses the response bodies of the log service. */
final class LogResponseParser {
    private LogResponseParser() {}

    /** Offset of an append; empty when the body is not a valid append response. */
    static OptionalLong parseAppend(byte[] body) {
        return Json.parse(body)
                .map(answer -> answer.path("offset"))
                .filter(JsonNode::isIntegralNumber)
                .map(offset -> OptionalLong.of(offset.longValue()))
                .orElse(OptionalLong.empty());
    }

    /** Result of a read; empty when the body is not a valid read response or a record in it cannot be decoded. */
    static Optional<ReadAnswer> parseRead(byte[] body) {
        return Json.parse(body).flatMap(LogResponseParser::toReadAnswer);
    }

    private static Optional<ReadAnswer> toReadAnswer(JsonNode answer) {
        if (!answer.path("first").isIntegralNumber()
                || !answer.path("next").isIntegralNumber()
                || !answer.path("records").isArray()) {
            return Optional.empty();
        }
        List<LogEntry> entries = new ArrayList<>(answer.path("records").size());
        for (JsonNode record : answer.path("records")) {
            if (!record.path("offset").isIntegralNumber()) {
                return Optional.empty();
            }
            try {
                entries.add(new LogEntry(
                        record.path("offset").longValue(), record.path("data").binaryValue()));
            } catch (IOException notBase64) {
                return Optional.empty();
            }
        }
        if (entries.stream().anyMatch(entry -> entry.data() == null)) {
            return Optional.empty();
        }
        return Optional.of(new ReadAnswer(
                answer.path("first").longValue(), answer.path("next").longValue(), entries));
    }
}
