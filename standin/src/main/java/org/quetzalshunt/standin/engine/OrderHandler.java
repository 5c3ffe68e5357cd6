package org.quetzalshunt.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.StandinServer;
import org.quetzalshunt.wire.json.Json;

/**
 * HTTP calls for orders to load and unload models and to change the role. An order takes effect after its duration,
 * regardless of orders that were accepted in the meantime. Without a check of fencing tokens, an old slow order
 * therefore reverts a newer one. The system has to prevent that failure for such engines.
 */
final class OrderHandler {
    private static final int MAXIMUM_STATES = 1_000;
    private static final String PREFIX = "/engine/orders/";

    private final EventLoop loop;
    private final OrderSettings settings;
    private final Set<ModelVersion> models;
    private final Map<String, OrderState> states = new LinkedHashMap<>();
    private String role;
    private long highestFencingToken = Long.MIN_VALUE;
    private int acceptedOrders;

    private OrderHandler(EventLoop loop, EngineSettings settings) {
        this.loop = loop;
        this.settings = settings.orders();
        this.models = new LinkedHashSet<>(settings.models());
        this.role = settings.role();
    }

    static OrderHandler create(EventLoop loop, EngineSettings settings) {
        return new OrderHandler(loop, settings);
    }

    boolean serves(String model) {
        return models.stream().anyMatch(loaded -> loaded.isNamed(model));
    }

    String role() {
        return role;
    }

    ArrayNode modelsJson() {
        ArrayNode nodes = Json.array();
        models.forEach(loaded -> nodes.addObject().put("model", loaded.model()).put("version", loaded.version()));
        return nodes;
    }

    void accept(HttpExchange exchange) {
        JsonNode body = Json.parse(exchange.body()).orElse(Json.object());
        Optional<Runnable> effect = parseEffect(body);
        if (effect.isEmpty()) {
            StandinServer.error(exchange, 422, "order must be load, unload or role with its fields");
            return;
        }
        long token = body.path("fencingToken").asLong(0);
        if (settings.fencing() && token < highestFencingToken) {
            StandinServer.error(exchange, 409, "fencing token " + token + " is older than " + highestFencingToken);
            return;
        }
        highestFencingToken = Math.max(highestFencingToken, token);
        String id = start(effect.get());
        StandinServer.json(exchange, 202, Json.bytes(Json.object().put("order", id)));
    }

    void sendState(HttpExchange exchange) {
        OrderState state = states.get(exchange.path().substring(PREFIX.length()));
        if (state == null) {
            StandinServer.error(exchange, 404, "no such order");
            return;
        }
        StandinServer.json(
                exchange,
                200,
                Json.bytes(Json.object().put("state", state.label()).put("detail", state.detail())));
    }

    /** Marks all running orders as failed, as when the process ends. */
    void failRunning() {
        states.replaceAll((id, state) -> state == OrderState.RUNNING ? OrderState.FAILED : state);
    }

    private String start(Runnable effect) {
        acceptedOrders++;
        String id = "order-" + acceptedOrders;
        boolean fails = settings.failEvery() > 0 && acceptedOrders % settings.failEvery() == 0;
        states.put(id, OrderState.RUNNING);
        if (states.size() > MAXIMUM_STATES) {
            states.remove(states.keySet().iterator().next());
        }
        loop.schedule(() -> finish(id, fails, effect), settings.millis(), TimeUnit.MILLISECONDS);
        return id;
    }

    private void finish(String id, boolean fails, Runnable effect) {
        if (states.get(id) != OrderState.RUNNING) {
            return;
        }
        if (!fails) {
            effect.run();
        }
        states.put(id, fails ? OrderState.FAILED : OrderState.DONE);
    }

    private Optional<Runnable> parseEffect(JsonNode body) {
        ModelVersion named = new ModelVersion(
                body.path("model").asText(""), body.path("version").asText(""));
        String newRole = body.path("role").asText("");
        return switch (body.path("order").asText("")) {
            case "load" -> named.model().isEmpty() ? Optional.empty() : Optional.of(() -> models.add(named));
            case "unload" -> named.model().isEmpty() ? Optional.empty() : Optional.of(() -> models.remove(named));
            case "role" -> newRole.isEmpty() ? Optional.empty() : Optional.of(() -> role = newRole);
            default -> Optional.empty();
        };
    }

    private enum OrderState {
        RUNNING("running", ""),
        DONE("done", ""),
        FAILED("failed", "the load failed");

        private final String label;
        private final String detail;

        OrderState(String label, String detail) {
            this.label = label;
            this.detail = detail;
        }

        private String label() {
            return label;
        }

        private String detail() {
            return detail;
        }
    }
}
