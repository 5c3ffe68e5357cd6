package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.function.Supplier;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.routing.EndpointSpeeds;

/** Speeds of endpoints in the metrics, the request's log line and the state dump. */
final class RoutingReports {
    private static final int MAXIMUM_ENDPOINTS = 2_000;

    private RoutingReports() {}

    static void registerGauges(GatewayMetrics metrics, Supplier<Gateway> gateway) {
        metrics.registerGauge(
                "quetzalshunt.endpoint.speeds.known",
                "endpoints whose speed this gateway or a peer has measured",
                () -> gateway.get().endpoints().speeds().knownCount());
        metrics.registerGauge(
                "quetzalshunt.endpoint.speeds.bounded",
                "figures in speed reports of peers that were bounded or ignored since the start",
                () -> gateway.get().endpoints().speeds().boundedReports());
    }

    /** Adds the speed of the endpoint of a request to its log line. */
    static void addTo(ObjectNode line, Gateway gateway, String endpoint) {
        if (!gateway.isEnabled(Mechanism.SPEED_SAMPLING)) {
            return;
        }
        gateway.endpoints().speeds().find(endpoint).ifPresent(speed -> line.put(
                        "endpointMillisPerToken", rounded(speed.millisPerToken()))
                .put("endpointRelativeTime", rounded(speed.relativeTime())));
    }

    /** Adds the section of the state dump. */
    static void addSection(ObjectNode dump, Gateway gateway, Collection<String> endpoints) {
        if (!gateway.isEnabled(Mechanism.SPEED_SAMPLING)) {
            return;
        }
        EndpointSpeeds speeds = gateway.endpoints().speeds();
        ObjectNode section = dump.putObject("endpointSpeeds").put("boundedReports", speeds.boundedReports());
        ArrayNode rows = section.putArray("endpoints");
        endpoints.stream().limit(MAXIMUM_ENDPOINTS).forEach(id -> speeds.find(id)
                .ifPresent(speed -> rows.addObject()
                        .put("id", id)
                        .put("millisPerToken", rounded(speed.millisPerToken()))
                        .put("prefillTokensPerMilli", rounded(speed.prefillTokensPerMilli()))
                        .put("relativeTime", rounded(speed.relativeTime()))
                        .put("ownSamples", speed.samples())));
    }

    private static double rounded(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }
}
