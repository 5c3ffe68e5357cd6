package org.quetzalshunt.standin.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.wire.json.Json;

/** One request that a stand-in executed, with the identifiers by which a checker finds it. */
public final class Run {
    private final String id;
    private final String idempotencyKey;
    private final String program;
    private final String method;
    private final String path;
    private final long startedMillis;
    private RunState state = RunState.RUNNING;

    private Run(String id, String idempotencyKey, String program, String method, String path, long startedMillis) {
        this.id = id;
        this.idempotencyKey = idempotencyKey;
        this.program = program;
        this.method = method;
        this.path = path;
        this.startedMillis = startedMillis;
    }

    static Run of(String id, HttpExchange exchange, long startedMillis) {
        return new Run(
                id,
                exchange.header("Idempotency-Key").orElse(""),
                exchange.header("Quetzalshunt-Program").orElse(""),
                exchange.method(),
                exchange.path(),
                startedMillis);
    }

    /** Creates a run that is in no log, for tests of components without a server. */
    public static Run unlogged() {
        return new Run("", "", "", "", "", 0);
    }

    /** Value of {@code X-Request-Id}, or a generated id if the request has none. */
    public String id() {
        return id;
    }

    /** Value of {@code Idempotency-Key}; empty if the request has none. */
    public String idempotencyKey() {
        return idempotencyKey;
    }

    /** Current state. */
    public RunState state() {
        return state;
    }

    public void setState(RunState newState) {
        state = newState;
    }

    ObjectNode toJson() {
        return Json.object()
                .put("id", id)
                .put("idempotencyKey", idempotencyKey)
                .put("program", program)
                .put("method", method)
                .put("path", path)
                .put("startedMillis", startedMillis)
                .put("state", state.label());
    }
}
