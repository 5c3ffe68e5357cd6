package org.quetzalshunt.standin.control;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.agrona.collections.Object2IntCounterMap;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.wire.json.Json;

/** Every run since the start and every header line seen; bounded, the newest kept. */
public final class RunBook {
    private static final int MAXIMUM_RUNS = 100_000;
    private static final int MAXIMUM_HEADER_LINES = 100_000;

    private final LongSupplier clockMillis;
    private final Deque<Run> runs = new ArrayDeque<>();
    private final Object2IntCounterMap<String> runsByKey = new Object2IntCounterMap<>(0);
    private final Set<String> headerLines = new LinkedHashSet<>();
    private long sequence;

    private RunBook(LongSupplier clockMillis) {
        this.clockMillis = clockMillis;
    }

    /** An empty book. */
    public static RunBook create(LongSupplier clockMillis) {
        return new RunBook(clockMillis);
    }

    /** Notes that a request begins to run. */
    public Run start(HttpExchange exchange) {
        sequence++;
        String id = exchange.header("X-Request-Id").orElse("run-" + sequence);
        Run run = Run.of(id, exchange, clockMillis.getAsLong());
        runs.addLast(run);
        runsByKey.incrementAndGet(run.idempotencyKey());
        if (runs.size() > MAXIMUM_RUNS) {
            runsByKey.decrementAndGet(runs.removeFirst().idempotencyKey());
        }
        return run;
    }

    /** How many runs had this idempotency key. */
    public int count(String idempotencyKey) {
        return runsByKey.get(idempotencyKey);
    }

    void sawHeaders(HttpExchange exchange) {
        for (Map.Entry<String, String> header : exchange.headers()) {
            headerLines.add(header.getKey() + ": " + header.getValue());
        }
        Iterator<String> oldest = headerLines.iterator();
        while (headerLines.size() > MAXIMUM_HEADER_LINES) {
            oldest.next();
            oldest.remove();
        }
    }

    byte[] toJson() {
        ObjectNode root = Json.object();
        ArrayNode runNodes = root.putArray("runs");
        runs.forEach(run -> runNodes.add(run.toJson()));
        ArrayNode headerNodes = root.putArray("headers");
        headerLines.forEach(headerNodes::add);
        return Json.bytes(root);
    }
}
