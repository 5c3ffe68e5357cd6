package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.HttpServer;
import org.quetzalshunt.server.http.PendingExchange;

/** Log lines and refusals of a planned stop. */
final class StopReport {
    /** Ids listed for each step; the number of requests is always stated. */
    private static final int MAXIMUM_IDS = 20;

    /** Retry-After when this VM stops: another VM can serve the request at once. */
    static final long RETRY_AFTER_MILLIS = 100;

    private StopReport() {}

    /** Refuses a request that has not run and cannot run before this VM ends. */
    static Refusal refusal() {
        return Refusal.notRunRetryAfter(ResultCode.STOPPING, "this VM stops", RETRY_AFTER_MILLIS);
    }

    /** Ends a request that an endpoint may have run. */
    static Refusal unknownOutcome() {
        return Refusal.withExecution(ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, "this VM stops");
    }

    /** Writes an event with the requests in progress by their step. */
    static void write(DecisionLog log, String event, HttpServer callers) {
        ObjectNode line = log.event(event).put("connections", callers.connections());
        Map<String, List<PendingExchange>> bySteps = callers.pending().stream()
                .collect(Collectors.groupingBy(pending -> pending.step().get(), TreeMap::new, Collectors.toList()));
        ObjectNode steps = line.putObject("inProgress");
        bySteps.forEach((step, pending) -> {
            ObjectNode entry = steps.putObject(step).put("requests", pending.size());
            ArrayNode ids = entry.putArray("ids");
            pending.stream().limit(MAXIMUM_IDS).map(PendingExchange::requestId).forEach(ids::add);
        });
        log.write(line);
    }
}
