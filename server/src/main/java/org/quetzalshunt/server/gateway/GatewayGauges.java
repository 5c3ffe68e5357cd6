package org.quetzalshunt.server.gateway;

import java.util.Locale;
import org.quetzalshunt.server.http.UnmatchedResponses;

/** Gauges of what a gateway knows and how it is connected. */
final class GatewayGauges {
    private GatewayGauges() {}

    static void register(Gateway gateway) {
        GatewayMetrics metrics = gateway.metrics();
        metrics.registerGauge(
                "quetzalshunt.configuration.age.millis",
                "age of the proof that the configuration is current",
                () -> gateway.configuration().ageMillis());
        metrics.registerGauge(
                "quetzalshunt.registrations.age.millis",
                "time since the endpoints' registrations were read",
                () -> gateway.registrations().ageMillis());
        metrics.registerGauge("quetzalshunt.endpoints", "endpoints believed in", () -> gateway.endpoints()
                .ids()
                .size());
        metrics.registerGauge(
                "quetzalshunt.evacuated.data.centres",
                "data centres that operators evacuate",
                () -> gateway.evacuations().ageMillis().size());
        metrics.registerGauge(
                "quetzalshunt.connections.opened",
                "connections opened to endpoints and to the platform since the start",
                () -> gateway.http().connectionsOpened());
        metrics.registerGauge(
                "quetzalshunt.responses.buffered.bytes",
                "bytes of endpoints' responses that are buffered",
                () -> gateway.responses().heldBytes());
        for (UnmatchedResponses.Kind kind : UnmatchedResponses.Kind.values()) {
            metrics.registerGauge(
                    "quetzalshunt.responses.unmatched",
                    "responses that no request was waiting for, since the start",
                    "kind",
                    kind.name().toLowerCase(Locale.ROOT),
                    () -> gateway.http().unmatched().count(kind));
        }
        for (ProcessorTime.Kind kind : ProcessorTime.Kind.values()) {
            metrics.registerGauge(
                    "quetzalshunt.processor.millis",
                    "processor time since the start by kind of work",
                    "kind",
                    kind.label(),
                    () -> ProcessorTime.millis().get(kind));
        }
        RoutingReports.registerGauges(metrics, () -> gateway);
        gateway.starts().registerGauges(metrics);
        metrics.registerGauge("quetzalshunt.vms", "gateways believed to be live", () -> gateway.quotas()
                .liveVms());
    }
}
