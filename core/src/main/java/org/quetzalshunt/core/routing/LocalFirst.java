package org.quetzalshunt.core.routing;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Restricts requests to the endpoints of this VM's data centre while these have free slots.
 *
 * <p>Load patterns: traffic between data centres is expensive, so that it is worth some milliseconds; a burst that
 * fills a data centre, which must spill over to the others at once. The spillover ends only when a tenth of the local
 * slots is free, since it would otherwise start and end with each request.
 */
public final class LocalFirst {
    /** Part of the local slots that is free when spillover ends. */
    private static final double FREE_SHARE_AT_END = 0.1;

    /** Guards against unbounded growth while nobody takes the changes. */
    private static final int MAXIMUM_CHANGES = 64;

    private final String dataCentre;
    private final Set<String> spilling = new HashSet<>();
    private final ArrayDeque<SpilloverChange> changes = new ArrayDeque<>();

    LocalFirst(String dataCentre) {
        this.dataCentre = dataCentre;
    }

    /**
     * Returns the endpoints where a request may be sent: the local ones, or all if the local ones have no free slot, or
     * none that would complete this request within its objective.
     *
     * @param open endpoints that accept work
     * @param healthy whether an endpoint is neither failing nor full by its own report
     * @param usable whether the request may be sent to an endpoint
     * @param millis expected completion time of the request at an endpoint
     */
    List<EndpointRow> restrict(
            RoutingRequest request,
            List<EndpointRow> open,
            Predicate<EndpointRow> healthy,
            Predicate<EndpointRow> usable,
            ToDoubleFunction<EndpointRow> millis) {
        List<EndpointRow> local = open.stream()
                .filter(row -> row.registration.dataCentre().equals(dataCentre))
                .toList();
        if (local.isEmpty()) {
            return open;
        }
        List<EndpointRow> healthyLocal = local.stream().filter(healthy).toList();
        updateSpillover(request.service(), healthyLocal);
        if (spilling.contains(request.service())) {
            return open;
        }
        boolean inTime = healthyLocal.stream()
                .filter(usable)
                .filter(row -> row.load() < row.slots())
                .anyMatch(row -> millis.applyAsDouble(row) <= request.options().objectiveMillis());
        return inTime ? local : open;
    }

    private void updateSpillover(String service, List<EndpointRow> healthyLocal) {
        int slots = 0;
        int free = 0;
        for (EndpointRow row : healthyLocal) {
            slots += row.slots();
            free += Math.max(0, row.slots() - row.load());
        }
        if (free == 0 && spilling.add(service)) {
            addChange(new SpilloverChange(service, true));
        } else if (free > 0 && free >= FREE_SHARE_AT_END * slots && spilling.remove(service)) {
            addChange(new SpilloverChange(service, false));
        }
    }

    private void addChange(SpilloverChange change) {
        changes.addLast(change);
        if (changes.size() > MAXIMUM_CHANGES) {
            changes.removeFirst();
        }
    }

    /** Returns the starts and ends of spillover since the last call. */
    public List<SpilloverChange> takeChanges() {
        if (changes.isEmpty()) {
            return List.of();
        }
        List<SpilloverChange> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }

    /** Services whose requests are sent to other data centres because the local endpoints are full. */
    public Set<String> spilling() {
        return Set.copyOf(spilling);
    }
}
