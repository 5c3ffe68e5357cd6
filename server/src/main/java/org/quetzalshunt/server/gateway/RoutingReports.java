package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.function.Supplier;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.routing.EndpointSpeeds;
import org.quetzalshunt.core.routing.Registration;
import org.quetzalshunt.core.routing.SlowPhases;

/**
 * Speeds of endpoints, use of other data centres and bytes sent to them, in the metrics, the log and the state dump.
 */
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
        metrics.registerGauge(
                "quetzalshunt.endpoints.slow",
                "endpoints that new work avoids because their streams are overdue",
                () -> gateway.get()
                        .endpoints()
                        .slowPhases()
                        .marked(gateway.get().clock().now())
                        .size());
        metrics.registerGauge(
                "quetzalshunt.slow.phases",
                "slow phases of endpoints that were detected since the start",
                () -> gateway.get().endpoints().slowPhases().marks());
        metrics.registerGauge(
                "quetzalshunt.services.spilling",
                "services whose requests go to other data centres because the local endpoints are full",
                () -> gateway.get().endpoints().localFirst().spilling().size());
    }

    /**
     * Counts a request sent to an endpoint, and logs when the use of other data centres started or ended.
     *
     * @param bytes size of its body
     */
    static void onSent(Gateway gateway, Registration endpoint, int bytes) {
        if (!gateway.isEnabled(Mechanism.LOCAL_FIRST)) {
            return;
        }
        boolean local = isLocal(gateway, endpoint);
        gateway.metrics().countSelection(local ? "local" : "remote");
        if (!local) {
            gateway.metrics().countRemoteBytes("prompts", bytes);
        }
        gateway.endpoints().localFirst().takeChanges().forEach(change -> gateway.log()
                .write(gateway.log()
                        .event(change.started() ? "spillover-started" : "spillover-ended")
                        .put("service", change.service())));
    }

    /** Counts bytes of a response body. */
    static void onAnswer(Gateway gateway, Registration endpoint, int bytes) {
        if (gateway.isEnabled(Mechanism.LOCAL_FIRST) && !isLocal(gateway, endpoint)) {
            gateway.metrics().countRemoteBytes("answers", bytes);
        }
    }

    /** Counts bytes of a message to a peer in another data centre. */
    static void countPeerBytes(Gateway gateway, int bytes) {
        if (gateway.isEnabled(Mechanism.LOCAL_FIRST)) {
            gateway.metrics().countRemoteBytes("peers", bytes);
        }
    }

    private static boolean isLocal(Gateway gateway, Registration endpoint) {
        return endpoint.dataCentre().equals(gateway.settings().dataCentre());
    }

    /** Adds the speed of the endpoint of a request to its log line, and whether new work avoids it at its end. */
    static void addTo(ObjectNode line, Gateway gateway, String endpoint) {
        if (gateway.isEnabled(Mechanism.SLOWDOWN_DETECTION)) {
            line.put(
                    "endpointSlow",
                    gateway.endpoints()
                            .slowPhases()
                            .marked(gateway.clock().now())
                            .contains(endpoint));
        }
        if (!gateway.isEnabled(Mechanism.SPEED_SAMPLING)) {
            return;
        }
        gateway.endpoints().speeds().find(endpoint).ifPresent(speed -> line.put(
                        "endpointMillisPerToken", rounded(speed.millisPerToken()))
                .put("endpointRelativeTime", rounded(speed.relativeTime())));
    }

    /** Adds the section of the state dump. */
    static void addSection(ObjectNode dump, Gateway gateway, Collection<String> endpoints) {
        if (gateway.isEnabled(Mechanism.LOCAL_FIRST)) {
            ArrayNode services = dump.putArray("spillingServices");
            gateway.endpoints().localFirst().spilling().forEach(services::add);
        }
        if (gateway.isEnabled(Mechanism.SLOWDOWN_DETECTION)) {
            ObjectNode slow = dump.putObject("slowEndpointsUsualMillis");
            SlowPhases phases = gateway.endpoints().slowPhases();
            phases.marked(gateway.clock().now()).forEach(id -> slow.put(id, Math.round(phases.usualMillis(id))));
        }
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
