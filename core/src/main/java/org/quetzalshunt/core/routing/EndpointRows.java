package org.quetzalshunt.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** The rows of all endpoints that are registered, by id and by service. */
final class EndpointRows {
    /** Latency assumed of an endpoint that has not answered yet. */
    private static final double FIRST_LATENCY_MILLIS = 100;

    private final Map<String, EndpointRow> byId = new HashMap<>();
    private final Map<String, List<EndpointRow>> byService = new HashMap<>();
    private Set<String> evacuated = Set.of();

    /** Takes in what an endpoint said of itself, and returns its row. */
    EndpointRow registered(Registration registration) {
        EndpointRow row = byId.get(registration.id());
        if (row == null) {
            row = new EndpointRow(registration, FIRST_LATENCY_MILLIS);
            byId.put(registration.id(), row);
            list(registration.service()).add(row);
            return row;
        }
        row.removedMillis = Long.MAX_VALUE;
        if (!row.registration.service().equals(registration.service())) {
            list(row.registration.service()).remove(row);
            list(registration.service()).add(row);
        }
        if (row.registration.bornMillis() != registration.bornMillis()) {
            row.restarted();
        }
        row.registration = registration;
        return row;
    }

    void removed(String id) {
        EndpointRow row = byId.remove(id);
        if (row != null) {
            list(row.registration.service()).remove(row);
        }
    }

    /** Removes the rows whose moment has come. */
    void sweep(long nowMillis) {
        List<String> due = new ArrayList<>();
        byId.forEach((id, row) -> {
            if (row.removedMillis <= nowMillis) {
                due.add(id);
            }
        });
        due.forEach(this::removed);
    }

    Optional<EndpointRow> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    Collection<EndpointRow> all() {
        return byId.values();
    }

    /** Sets the data centres whose endpoints get no work. */
    void setEvacuated(Set<String> dataCentres) {
        evacuated = Set.copyOf(dataCentres);
    }

    private boolean isEvacuated(String dataCentre) {
        return evacuated.contains(dataCentre);
    }

    /** Rows of a service's endpoints that take work. */
    List<EndpointRow> open(String service) {
        return staying(service)
                .filter(row -> !isEvacuated(row.registration.dataCentre()))
                .toList();
    }

    /** Rows of a service's endpoints that would take work if their data centres were not evacuated. */
    List<EndpointRow> evacuated(String service) {
        return staying(service)
                .filter(row -> isEvacuated(row.registration.dataCentre()))
                .toList();
    }

    private Stream<EndpointRow> staying(String service) {
        return list(service).stream().filter(row -> !row.registration.leaving());
    }

    private List<EndpointRow> list(String service) {
        return byService.computeIfAbsent(service, ignored -> new ArrayList<>());
    }
}
