package org.quetzalshunt.server.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.wire.json.Json;

/** The order API of an engine that serves version 1 of a model, and a weight store beside it. */
final class FakeModels {
    private final List<String> orders = new CopyOnWriteArrayList<>();
    private final Set<String> loadedVersions = new LinkedHashSet<>(Set.of("1"));
    private final FakeEndpoint endpoint;
    private boolean busy;

    private FakeModels(FakeEndpoint endpoint, boolean busy) {
        this.endpoint = endpoint;
        this.busy = busy;
    }

    static FakeModels on(FakeEndpoint endpoint, boolean storeIsBusyFirst) {
        FakeModels models = new FakeModels(endpoint, storeIsBusyFirst);
        endpoint.on("GET /engine/load", exchange -> exchange.respondJson(200, models.loadJson()));
        endpoint.on("GET /weights/tutor/2", models::weights);
        endpoint.on("POST /engine/orders", models::acceptOrder);
        endpoint.on("GET /engine/orders/", exchange -> exchange.respondJson(200, "{\"state\":\"done\"}"));
        return models;
    }

    List<String> orders() {
        return orders;
    }

    int weightRequests() {
        return endpoint.requests("GET /weights/tutor/2").size();
    }

    private void weights(HttpExchange exchange) {
        if (busy) {
            busy = false;
            exchange.respond(429, Map.of("retry-after", "1"), new byte[0]);
            return;
        }
        exchange.respondJson(200, "{}");
    }

    private void acceptOrder(HttpExchange exchange) {
        JsonNode order = Json.parse(exchange.body()).orElseThrow();
        String version = order.path("version").asText();
        String kind = order.path("order").asText();
        orders.add(kind + " " + order.path("model").asText() + "@" + version + " "
                + order.path("fencingToken").asLong());
        if (kind.equals("load")) {
            loadedVersions.add(version);
        } else {
            loadedVersions.remove(version);
        }
        exchange.respondJson(202, "{\"order\":\"o-" + orders.size() + "\"}");
    }

    private String loadJson() {
        ArrayNode models = Json.array();
        for (String version : loadedVersions) {
            models.add(Json.object().put("model", "tutor").put("version", version));
        }
        ObjectNode load = Json.object().put("slots", 4);
        load.set("models", models);
        return Json.pretty(load);
    }
}
