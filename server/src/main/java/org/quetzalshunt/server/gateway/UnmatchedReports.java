package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Locale;
import org.quetzalshunt.server.http.IpPort;
import org.quetzalshunt.server.http.UnmatchedResponse;

/**
 * Logs the responses that no request was waiting for. A faulty server can send one with each request, so that the lines
 * of a second are limited.
 */
final class UnmatchedReports {
    private static final int MAXIMUM_LINES_PER_SECOND = 10;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final DecisionLog log;
    private final NodeClock clock;
    private final Dialect dialect;
    private long second;
    private int linesInSecond;
    private long suppressed;

    UnmatchedReports(DecisionLog log, NodeClock clock, Dialect dialect) {
        this.log = log;
        this.clock = clock;
        this.dialect = dialect;
    }

    void onResponse(UnmatchedResponse response) {
        if (!takeLine()) {
            suppressed++;
            return;
        }
        ObjectNode line = log.event("response-unmatched")
                .put("kind", response.kind().name().toLowerCase(Locale.ROOT))
                .put("address", IpPort.format(response.server()))
                .put("localPort", response.connection().localPort())
                .put("requestOnConnection", response.connection().requestNumber());
        response.awaitedId().ifPresent(id -> line.put("request", id));
        response.head().ifPresent(head -> addTo(line, head));
        if (suppressed > 0) {
            line.put("suppressedBefore", suppressed);
            suppressed = 0;
        }
        log.write(line);
    }

    private void addTo(ObjectNode line, HttpResponse head) {
        line.put("status", head.status().code());
        ResponseIdentity identity = dialect.responseIdentity(head.headers());
        identity.requestId().ifPresent(id -> line.put("responseTo", AttemptRecords.bounded(id)));
        identity.stamp().ifPresent(stamp -> line.put("stamp", AttemptRecords.bounded(stamp)));
    }

    private boolean takeLine() {
        long current = clock.now() / MILLIS_PER_SECOND;
        if (current != second) {
            second = current;
            linesInSecond = 0;
        }
        linesInSecond++;
        return linesInSecond <= MAXIMUM_LINES_PER_SECOND;
    }
}
