package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.wire.json.Json;

/** The state of a gateway for people, without keys and content. */
final class GatewayDump {
    private static final int MOST_ENDPOINTS = 2_000;

    private GatewayDump() {}

    static String of(Gateway gateway, boolean stopping) {
        ObjectNode dump = Json.object()
                .put("vm", gateway.settings().vm())
                .put("incarnation", gateway.settings().incarnation())
                .put("stopping", stopping)
                .put("configurationAgeMillis", gateway.configuration().ageMillis())
                .put("registrationsAgeMillis", gateway.registrations().ageMillis())
                .put("liveVms", gateway.quotas().liveVms())
                .put("links", gateway.links().connectedVms().size())
                .put("ratesLeased", gateway.quotas().leased());
        gateway.configuration().current().ifPresent(current -> addConfiguration(dump, current));
        ObjectNode evacuated = dump.putObject("evacuatedForMillis");
        gateway.evacuations().ageMillis().forEach(evacuated::put);
        ArrayNode endpoints = dump.putArray("endpoints");
        gateway.endpoints().ids().stream()
                .limit(MOST_ENDPOINTS)
                .flatMap(id -> gateway.endpoints().find(id).stream())
                .forEach(each -> endpoints
                        .addObject()
                        .put("id", each.id())
                        .put("service", each.service())
                        .put("address", each.address())
                        .put("dataCentre", each.dataCentre())
                        .put("leaving", each.leaving())
                        .put("coldMillisWhenRead", each.coldMillis()));
        return dump.toString();
    }

    private static void addConfiguration(ObjectNode dump, TrafficConfiguration configuration) {
        dump.put("configuration", configuration.version())
                .put("routes", configuration.routes().size())
                .put("accounts", configuration.accounts().size());
    }
}
