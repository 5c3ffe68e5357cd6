package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.quetzalshunt.core.routing.EndpointTable;

/**
 * The data centres that operators evacuate. They stay evacuated while the store is unavailable: a VM that cannot read it goes
 * by what it read last, and keeps to it for as long as its configuration counts as current.
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

    /** Data centres evacuated now, each with the time since this VM learnt of it, in milliseconds. */
    Map<String, Long> ageMillis() {
        Map<String, Long> ages = new HashMap<>();
        sinceMillis.forEach((dataCentre, since) -> ages.put(dataCentre, clock.now() - since));
        return ages;
    }

    /** An operator's record about a data centre was read. */
    void changed(String dataCentre, boolean evacuated) {
        Set<String> wanted = new HashSet<>(sinceMillis.keySet());
        if (evacuated) {
            wanted.add(dataCentre);
        } else {
            wanted.remove(dataCentre);
        }
        replaced(wanted);
    }

    /** All operators' records were read: what is not among them has ended, whether or not its removal was seen. */
    void replaced(Set<String> dataCentres) {
        if (dataCentres.equals(sinceMillis.keySet())) {
            return;
        }
        dataCentres.stream().filter(each -> !sinceMillis.containsKey(each)).forEach(this::began);
        Set.copyOf(sinceMillis.keySet()).stream()
                .filter(each -> !dataCentres.contains(each))
                .forEach(this::ended);
        endpoints.setEvacuated(dataCentres);
    }

    private void began(String dataCentre) {
        sinceMillis.put(dataCentre, clock.now());
        log.line(event(dataCentre, true));
    }

    private void ended(String dataCentre) {
        long ageMillis = clock.now() - sinceMillis.remove(dataCentre);
        log.line(event(dataCentre, false).put("lastedMillis", ageMillis));
    }

    private ObjectNode event(String dataCentre, boolean evacuated) {
        return log.event("evacuation").put("dataCentre", dataCentre).put("evacuated", evacuated);
    }
}
