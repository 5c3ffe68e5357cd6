package org.quetzalshunt.standin.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.wire.json.Json;

/** One request that a stand-in ran, with the names by which a checker can find it. */
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

    /** A run outside of any book, for parts that are tried without a server. */
    public static Run unnamed() {
        return new Run("", "", "", "", "", 0);
    }

    /** Value of {@code X-Request-Id}, or one made here. */
    public String id() {
        return id;
    }

    /** Value of {@code Idempotency-Key}; empty when none came. */
    public String idempotencyKey() {
        return idempotencyKey;
    }

    /** How far it came. */
    public RunState state() {
        return state;
    }

    /** Notes how far it came. */
    public void mark(RunState newState) {
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
