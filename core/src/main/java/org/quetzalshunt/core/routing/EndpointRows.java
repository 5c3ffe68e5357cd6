package org.quetzalshunt.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

/** The rows of all registered endpoints, by id and by service. */
final class EndpointRows {
    /** Latency assumed for an endpoint that has not answered yet. */
    private static final double FIRST_LATENCY_MILLIS = 100;

    /**
     * Minimum failure rate that is reported to peers: two failures among the last requests. A single failure is not
     * significant.
     */
    private static final double MINIMUM_REPORTED_FAILURE_RATE = 0.2;

    private final Map<String, EndpointRow> byId = new HashMap<>();
    private final Map<String, List<EndpointRow>> byService = new HashMap<>();
    private Set<String> evacuatedDataCentres = Set.of();

    /** Adds or updates the row of an endpoint, and returns it. */
    EndpointRow register(Registration registration) {
        EndpointRow row = byId.get(registration.id());
        if (row == null) {
            row = new EndpointRow(registration, FIRST_LATENCY_MILLIS);
            byId.put(registration.id(), row);
            rowsOf(registration.service()).add(row);
            return row;
        }
        row.removalMillis = Long.MAX_VALUE;
        if (!row.registration.service().equals(registration.service())) {
            rowsOf(row.registration.service()).remove(row);
            rowsOf(registration.service()).add(row);
        }
        if (row.registration.startedMillis() != registration.startedMillis()) {
            row.resetAfterRestart();
        }
        row.registration = registration;
        return row;
    }

    void remove(String id) {
        EndpointRow row = byId.remove(id);
        if (row != null) {
            rowsOf(row.registration.service()).remove(row);
        }
    }

    /** Removes the rows whose scheduled removal is due. */
    void removeDue(long nowMillis) {
        List<String> due = new ArrayList<>();
        byId.forEach((id, row) -> {
            if (row.removalMillis <= nowMillis) {
                due.add(id);
            }
        });
        due.forEach(this::remove);
    }

    Optional<EndpointRow> find(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    Collection<EndpointRow> all() {
        return byId.values();
    }

    /** Counts by endpoint; endpoints with none are left out. */
    <N extends Number> Map<String, N> nonZeroCounts(Function<EndpointRow, N> count) {
        Map<String, N> counts = new HashMap<>();
        for (EndpointRow row : byId.values()) {
            N value = count.apply(row);
            if (value.longValue() > 0) {
                counts.put(row.registration.id(), value);
            }
        }
        return counts;
    }

    /** Failure rates of this VM's own requests, for the endpoints with a significant rate. */
    Map<String, Double> failureRates(long nowMillis) {
        Map<String, Double> failing = new HashMap<>();
        for (EndpointRow row : byId.values()) {
            double failureRate = row.ownFailureRate(nowMillis);
            if (failureRate >= MINIMUM_REPORTED_FAILURE_RATE) {
                failing.put(row.registration.id(), failureRate);
            }
        }
        return failing;
    }

    void setEvacuated(Set<String> dataCentres) {
        evacuatedDataCentres = Set.copyOf(dataCentres);
    }

    private boolean isEvacuated(String dataCentre) {
        return evacuatedDataCentres.contains(dataCentre);
    }

    /** Rows of a service's endpoints that accept work. */
    List<EndpointRow> open(String service) {
        return notLeaving(service)
                .filter(row -> !isEvacuated(row.registration.dataCentre()))
                .toList();
    }

    /** Rows of a service's endpoints that would accept work if their data centres were not evacuated. */
    List<EndpointRow> evacuated(String service) {
        return notLeaving(service)
                .filter(row -> isEvacuated(row.registration.dataCentre()))
                .toList();
    }

    /** Whether a service has endpoints that accept work in the data centres that the limits allow. */
    Availability availability(String service, EndpointLimits limits) {
        if (open(service).stream().anyMatch(row -> limits.allows(row.registration.dataCentre()))) {
            return Availability.AVAILABLE;
        }
        boolean evacuated = evacuated(service).stream().anyMatch(row -> limits.allows(row.registration.dataCentre()));
        return evacuated ? Availability.EVACUATED : Availability.NONE;
    }

    private Stream<EndpointRow> notLeaving(String service) {
        return rowsOf(service).stream().filter(row -> !row.registration.leaving());
    }

    private List<EndpointRow> rowsOf(String service) {
        return byService.computeIfAbsent(service, ignored -> new ArrayList<>());
    }
}
