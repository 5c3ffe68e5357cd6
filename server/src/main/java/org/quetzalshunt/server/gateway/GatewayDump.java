package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.server.http.IpPort;
import org.quetzalshunt.wire.json.Json;

/** Formats the state of a gateway as JSON for operators, without API keys and request content. */
final class GatewayDump {
    private static final int MAXIMUM_ENDPOINTS = 2_000;

    private GatewayDump() {}

    static String toJson(Gateway gateway, boolean stopping) {
        ObjectNode dump = Json.object()
                .put("vm", gateway.settings().vm())
                .put("incarnation", gateway.settings().incarnation())
                .put("stopping", stopping)
                .put("configurationAgeMillis", gateway.configuration().ageMillis())
                .put("registrationsAgeMillis", gateway.registrations().ageMillis())
                .put("liveVms", gateway.quotas().liveVms())
                .put("links", gateway.links().connectedVms().size())
                .put("ratesLeased", gateway.quotas().isLeased());
        gateway.configuration().current().ifPresent(current -> addConfiguration(dump, current));
        ObjectNode evacuated = dump.putObject("evacuatedForMillis");
        gateway.evacuations().ageMillis().forEach(evacuated::put);
        AdmissionReport.addTo(dump, gateway.quotas().programs(), gateway.clock().now());
        gateway.starts().addTo(dump, gateway.clock().now());
        gateway.shares().addToDump(dump);
        gateway.memory().addTo(dump.putObject("memory"));
        ObjectNode unmatched = dump.putObject("unmatchedResponses");
        gateway.http()
                .unmatched()
                .countByServer()
                .forEach((server, count) -> unmatched.put(IpPort.format(server), count));
        ObjectNode processor = dump.putObject("processorMillis");
        ProcessorTime.millis().forEach((kind, millis) -> processor.put(kind.label(), millis));
        ArrayNode endpoints = dump.putArray("endpoints");
        gateway.endpoints().ids().stream()
                .limit(MAXIMUM_ENDPOINTS)
                .flatMap(id -> gateway.endpoints().find(id).stream())
                .forEach(endpoint -> endpoints
                        .addObject()
                        .put("id", endpoint.id())
                        .put("service", endpoint.service())
                        .put("address", endpoint.address())
                        .put("dataCentre", endpoint.dataCentre())
                        .put("leaving", endpoint.leaving())
                        .put("coldMillisWhenRead", endpoint.coldMillis()));
        RoutingReports.addSection(dump, gateway, gateway.endpoints().ids());
        return dump.toString();
    }

    private static void addConfiguration(ObjectNode dump, TrafficConfiguration configuration) {
        dump.put("configuration", configuration.version())
                .put("routes", configuration.routes().size())
                .put("accounts", configuration.accounts().size());
    }
}
