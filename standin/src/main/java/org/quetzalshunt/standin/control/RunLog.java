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

/**
 * Log of the runs, which are executions of requests that a stand-in has started, and of the distinct header lines that
 * it has received. Both are bounded: the entries that were added first are removed first.
 */
public final class RunLog {
    private static final int MAXIMUM_RUNS = 100_000;
    private static final int MAXIMUM_HEADER_LINES = 100_000;

    private final LongSupplier clockMillis;
    private final Deque<Run> runs = new ArrayDeque<>();
    private final Object2IntCounterMap<String> runCountsByKey = new Object2IntCounterMap<>(0);
    private final Set<String> headerLines = new LinkedHashSet<>();
    private long sequence;

    private RunLog(LongSupplier clockMillis) {
        this.clockMillis = clockMillis;
    }

    /** Creates an empty log. */
    public static RunLog create(LongSupplier clockMillis) {
        return new RunLog(clockMillis);
    }

    /** Records that the execution of a request starts. */
    public Run start(HttpExchange exchange) {
        sequence++;
        String id = exchange.header("X-Request-Id").orElse("run-" + sequence);
        Run run = Run.of(id, exchange, clockMillis.getAsLong());
        runs.addLast(run);
        runCountsByKey.incrementAndGet(run.idempotencyKey());
        if (runs.size() > MAXIMUM_RUNS) {
            runCountsByKey.decrementAndGet(runs.removeFirst().idempotencyKey());
        }
        return run;
    }

    /** Number of logged runs with this idempotency key; runs without one count under the empty text. */
    public int count(String idempotencyKey) {
        return runCountsByKey.get(idempotencyKey);
    }

    void recordHeaders(HttpExchange exchange) {
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
