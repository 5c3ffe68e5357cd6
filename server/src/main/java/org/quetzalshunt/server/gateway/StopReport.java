package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.quetzalshunt.server.http.HttpServer;
import org.quetzalshunt.server.http.PendingExchange;

/** Log lines of a planned stop, with the requests in progress by their step. */
final class StopReport {
    /** Ids listed for each step; the number of requests is always stated. */
    private static final int MAXIMUM_IDS = 20;

    private StopReport() {}

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
