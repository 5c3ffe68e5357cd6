package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.quetzalshunt.core.routing.AttemptOutcome;
import org.quetzalshunt.server.http.ConnectionUse;
import org.quetzalshunt.wire.json.Json;

final class AttemptRecordsTest {
    private final AttemptRecords records = new AttemptRecords();

    private JsonNode attempts() {
        ObjectNode line = Json.object();
        records.addTo(line);
        return line.path("attempts");
    }

    /** Guards against a response that cannot be traced to the attempt and the connection on which it was received. */
    @Test
    void attemptHasItsConnectionAndTheIdentityOfItsResponse() {
        records.onHead(500, new ResponseIdentity(Optional.of("a"), Optional.of("s1")));
        records.onEnd("i-1", Optional.of(new ConnectionUse(40_376, 3)), AttemptOutcome.ERRORED);
        records.onHead(200, new ResponseIdentity(Optional.empty(), Optional.empty()));
        records.onEnd("i-2", Optional.of(new ConnectionUse(40_377, 1)), AttemptOutcome.ANSWERED);
        records.onEnd("i-3", Optional.empty(), AttemptOutcome.FAILED);

        assertThat(attempts().toString())
                .isEqualTo("[{\"endpoint\":\"i-1\",\"localPort\":40376,\"requestOnConnection\":3,\"status\":500,"
                        + "\"stamp\":\"s1\",\"outcome\":\"errored\"},"
                        + "{\"endpoint\":\"i-2\",\"localPort\":40377,\"requestOnConnection\":1,\"status\":200,"
                        + "\"identified\":false,\"outcome\":\"answered\"},"
                        + "{\"endpoint\":\"i-3\",\"outcome\":\"failed\"}]");
    }

    /** Guards against a log line without bound, from a request that is sent many times or a stamp of any length. */
    @Test
    void lineIsBounded() {
        for (int attempt = 0; attempt < 100; attempt++) {
            records.onHead(200, new ResponseIdentity(Optional.of("a"), Optional.of("s".repeat(10_000))));
            records.onEnd("i-1", Optional.empty(), AttemptOutcome.ANSWERED);
        }

        assertThat(attempts()).hasSize(8);
        assertThat(attempts().get(0).path("stamp").asText()).hasLength(64);
    }
}
