package org.quetzalshunt.server.sidecar;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalshunt.core.attempt.GateStatistics;
import org.quetzalshunt.core.attempt.RolloutStatus;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.json.Json;

/** HTTP pages for liveness, readiness and a dump of the state, which contains no request content and no key. */
final class StatusPages {
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_UNAVAILABLE = 503;

    private StatusPages() {}

    static void handle(HttpExchange exchange, Sidecar sidecar) {
        switch (exchange.path()) {
            case "/healthz" -> exchange.respondText(STATUS_OK, "alive\n");
            case "/readyz" -> ready(exchange, sidecar);
            case "/dump" -> exchange.respondJson(STATUS_OK, Json.pretty(dump(sidecar)));
            default -> exchange.respondText(STATUS_NOT_FOUND, "no such page\n");
        }
    }

    private static void ready(HttpExchange exchange, Sidecar sidecar) {
        boolean ready = sidecar.isHealthy() && !sidecar.counts().leaving();
        exchange.respondText(ready ? STATUS_OK : STATUS_UNAVAILABLE, ready ? "ready\n" : "not ready\n");
    }

    private static ObjectNode dump(Sidecar sidecar) {
        SidecarSettings settings = sidecar.settings();
        ObjectNode dump = Json.object();
        dump.put("vm", settings.id().name());
        dump.put("incarnation", settings.id().incarnation());
        dump.put("dataCentre", settings.dataCentre());
        dump.put("service", settings.service());
        dump.put("kind", settings.kind().name());
        dump.put("endpoint", settings.endpoint().toString());
        dump.put("healthy", sidecar.isHealthy());
        dump.put("openCalls", sidecar.openCalls());
        dump.set("gate", gate(sidecar.counts()));
        dump.set("load", load(sidecar.load()));
        dump.set("rollout", rollout(sidecar.rolloutStatus()));
        dump.set("links", links(sidecar));
        return dump;
    }

    private static ObjectNode gate(GateStatistics counts) {
        ObjectNode gate = Json.object();
        gate.put("running", counts.running());
        gate.put("finished", counts.finished());
        gate.put("remembered", counts.cachedResults());
        gate.put("refused", counts.refused());
        gate.put("shards", counts.shards());
        gate.put("heldPrograms", counts.heldPrograms());
        gate.put("freedPrograms", counts.freedPrograms());
        gate.put("leaving", counts.leaving());
        return gate;
    }

    private static ObjectNode load(EndpointLoad load) {
        ObjectNode values = Json.object();
        values.put("running", load.running());
        values.put("waiting", load.waiting());
        values.put("slots", load.slots());
        values.put("cachedTokens", load.cachedTokens());
        values.put("cacheCapacityTokens", load.cacheCapacityTokens());
        values.put("tokensPerSecond", load.tokensPerSecond());
        ArrayNode models = Json.array();
        load.models().forEach(model -> models.add(model.toString()));
        values.set("models", models);
        return values;
    }

    private static ObjectNode rollout(RolloutStatus status) {
        ObjectNode values = Json.object();
        values.put("version", status.version());
        values.put("phase", status.phase());
        values.put("rolledBack", status.rolledBack());
        values.put("ordersGiven", status.ordersGiven());
        ArrayNode target = Json.array();
        status.target().forEach(model -> target.add(model.toString()));
        values.set("target", target);
        return values;
    }

    private static ArrayNode links(Sidecar sidecar) {
        ArrayNode links = Json.array();
        for (PeerLink link : sidecar.links()) {
            links.add(link.remote().id().toString());
        }
        return links;
    }
}
