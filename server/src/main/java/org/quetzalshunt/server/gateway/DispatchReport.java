package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.quetzalshunt.core.dispatch.Dispatcher;
import org.quetzalshunt.core.dispatch.ServiceStatus;

/** Shows operators the queues and forecasts of a {@link Dispatcher}: gauges, log events and a part of the state dump. */
final class DispatchReport {
    /** Pairs of service and urgency that have gauges of their own. */
    private static final int MAXIMUM_GAUGES = 128;

    private record Gauged(String service, int urgency) {}

    private final Dispatcher dispatcher;
    private final Map<String, Boolean> shortServices = new HashMap<>();
    private final Set<Gauged> gauged = new HashSet<>();

    DispatchReport(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /** Registers the gauge that has no service. */
    void registerGauges(GatewayMetrics metrics) {
        metrics.registerGauge(
                "quetzalshunt.dispatch.rejected.values",
                "program times and length estimates that were ignored because they were absurd",
                () -> dispatcher.forecasts().rejectedValues());
    }

    /** Writes a log event when a service becomes short of slots or is no longer short. */
    void logShortage(Gateway gateway, long nowMillis, String service) {
        ServiceStatus status = dispatcher.status(nowMillis, service);
        boolean isShort = status.shortOfSlots();
        if (isShort == shortServices.getOrDefault(service, false)) {
            return;
        }
        shortServices.put(service, isShort);
        gateway.log()
                .write(gateway.log()
                        .event(isShort ? "slots-short" : "slots-free")
                        .put("service", service)
                        .put("slots", status.slots())
                        .put("waiting", dispatcher.waiting().getOrDefault(service, 0)));
    }

    /** Registers the gauges of a service and an urgency, once. */
    void registerGauges(Gateway gateway, String service, int urgency) {
        if (gauged.size() >= MAXIMUM_GAUGES || !gauged.add(new Gauged(service, urgency))) {
            return;
        }
        gateway.metrics()
                .registerGauge(
                        "quetzalshunt.dispatch.waiting",
                        "first turns that wait for a slot",
                        service,
                        urgency,
                        () -> status(gateway, service).waitingByUrgency().getOrDefault(urgency, 0));
        gateway.metrics()
                .registerGauge(
                        "quetzalshunt.dispatch.oldest.millis",
                        "age of the oldest first turn that waits for a slot",
                        service,
                        urgency,
                        () -> status(gateway, service).oldestMillisByUrgency().getOrDefault(urgency, 0L));
    }

    private ServiceStatus status(Gateway gateway, String service) {
        return dispatcher.status(gateway.clock().now(), service);
    }

    /** Adds the queues and forecasts to the state dump. */
    void addTo(ObjectNode dump, long nowMillis) {
        ObjectNode section = dump.putObject("dispatch");
        section.put("rejectedValues", dispatcher.forecasts().rejectedValues());
        ArrayNode services = section.putArray("services");
        for (ServiceStatus status : dispatcher.status(nowMillis)) {
            ObjectNode node = services.addObject()
                    .put("service", status.service())
                    .put("slots", status.slots())
                    .put("freeSlots", Math.round(status.freeSlots()))
                    .put("short", status.shortOfSlots())
                    .put("peersWaiting", status.peersWaiting());
            ObjectNode waiting = node.putObject("waitingByUrgency");
            status.waitingByUrgency().forEach((urgency, count) -> waiting.put(urgency.toString(), count));
            ObjectNode oldest = node.putObject("oldestMillisByUrgency");
            status.oldestMillisByUrgency().forEach((urgency, millis) -> oldest.put(urgency.toString(), millis));
        }
        ObjectNode forecasts = section.putObject("forecasts");
        dispatcher.forecasts().byRoute().forEach((route, forecast) -> forecasts
                .putObject(route)
                .put("turns", forecast.turns())
                .put("turnMillis", Math.round(forecast.turnMillis()))
                .put("pauseMillis", Math.round(forecast.pauseMillis()))
                .put("objectiveMillis", Math.round(forecast.objectiveMillis()))
                .put("turnErrorMillis", Math.round(forecast.errorMillis())));
    }
}
