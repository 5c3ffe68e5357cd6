package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.quetzalshunt.core.routing.EndpointTable;

/**
 * Tracks the data centres that operators evacuate. While the store is unavailable, the last state that was read stays
 * in effect, for as long as the configuration of this VM counts as current.
 */
final class Evacuations {
    private final EndpointTable endpoints;
    private final NodeClock clock;
    private final DecisionLog log;
    private final Map<String, Long> sinceMillis = new HashMap<>();

    Evacuations(EndpointTable endpoints, NodeClock clock, DecisionLog log) {
        this.endpoints = endpoints;
        this.clock = clock;
        this.log = log;
    }

    /** The evacuated data centres, each with the time since this VM read its evacuation, in milliseconds. */
    Map<String, Long> ageMillis() {
        Map<String, Long> ages = new HashMap<>();
        sinceMillis.forEach((dataCentre, since) -> ages.put(dataCentre, clock.now() - since));
        return ages;
    }

    /** Applies an operator's record about one data centre. */
    void update(String dataCentre, boolean evacuated) {
        Set<String> updated = new HashSet<>(sinceMillis.keySet());
        if (evacuated) {
            updated.add(dataCentre);
        } else {
            updated.remove(dataCentre);
        }
        replaceAll(updated);
    }

    /**
     * Replaces the set of evacuated data centres after a read of all records; evacuations that are not among them have
     * ended, even if this VM did not read their removal.
     */
    void replaceAll(Set<String> dataCentres) {
        if (dataCentres.equals(sinceMillis.keySet())) {
            return;
        }
        dataCentres.stream().filter(each -> !sinceMillis.containsKey(each)).forEach(this::onStarted);
        Set.copyOf(sinceMillis.keySet()).stream()
                .filter(each -> !dataCentres.contains(each))
                .forEach(this::onEnded);
        endpoints.setEvacuated(dataCentres);
    }

    private void onStarted(String dataCentre) {
        sinceMillis.put(dataCentre, clock.now());
        log.write(event(dataCentre, true));
    }

    private void onEnded(String dataCentre) {
        long durationMillis = clock.now() - sinceMillis.remove(dataCentre);
        log.write(event(dataCentre, false).put("lastedMillis", durationMillis));
    }

    private ObjectNode event(String dataCentre, boolean evacuated) {
        return log.event("evacuation").put("dataCentre", dataCentre).put("evacuated", evacuated);
    }
}
