package org.quetzalshunt.core.endpoint;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * The endpoints of all services, and the choice among them: the one at which a request is expected to end soonest.
 *
 * <p>Load patterns: a burst, which must fill all endpoints before any queues; an endpoint that is slow or failing, which
 * must not attract work by looking empty or by failing fast; lines of turns, which belong where their prompt is cached
 * unless waiting there costs more than reading it again.
 */
public final class EndpointTable {
    /** Latency assumed of an endpoint that has not answered yet. */
    private static final double FIRST_LATENCY_MILLIS = 100;

    /** What one request more costs below the slots, as part of a latency: a batch step grows by about 3% a request. */
    private static final double CROWDING = 0.03;

    /**
     * Both ways to another data centre take a millisecond; the rest stands for the price of the octets. About three
     * requests more at a near endpoint outweigh it. Against 2 ms, one quiet day had 15 instead of 16 MB between data
     * centres and 855 instead of 867 connections opened: no more than noise.
     */
    private static final double OTHER_DATA_CENTRE_MILLIS = 8;

    /** After an endpoint said that it is full, it is asked again only when nothing else is free. */
    private static final long FULL_MILLIS = 40;

    private static final double FULL_COST_MILLIS = 500;
    private static final double SUSPECT_COST_MILLIS = 10_000;

    /**
     * What a failure costs its program: the time until its caller sends again, 0.1 to 0.4 s, and the work done anew, or
     * the whole program where a call may not be repeated. It is multiplied by the square of the share of requests that
     * failed lately: one failure among sound answers, as one tool call in a hundred ends, costs 34 ms, less than a short
     * queue; an endpoint that fails half of its requests 375 ms, so that it serves once all others queue, and the rest is
     * not drowned.
     */
    private static final double FAILURE_COST_MILLIS = 1_500;

    /** Two failures among the last requests; one is not worth telling other VMs. */
    private static final double FAILURE_WORTH_TELLING = 0.2;

    private final String dataCentre;
    private final SplittableRandom random;
    private final Map<String, EndpointRow> rows = new HashMap<>();
    private final Map<String, List<EndpointRow>> byService = new HashMap<>();
    private final Map<String, Map<String, Integer>> others = new HashMap<>();

    private EndpointTable(String dataCentre, long seed) {
        this.dataCentre = dataCentre;
        this.random = new SplittableRandom(seed);
    }

    /** Makes an empty table for a VM in a data centre. */
    public static EndpointTable create(String dataCentre, long seed) {
        return new EndpointTable(dataCentre, seed);
    }

    /** Takes in what an endpoint said of itself. */
    public void registered(Registration registration) {
        EndpointRow row = rows.get(registration.id());
        if (row == null) {
            row = new EndpointRow(registration, FIRST_LATENCY_MILLIS);
            rows.put(registration.id(), row);
            list(registration.service()).add(row);
            return;
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
    }

    /** Forgets an endpoint. */
    public void removed(String id) {
        EndpointRow row = rows.remove(id);
        if (row != null) {
            list(row.registration.service()).remove(row);
        }
    }

    /** Marks an endpoint to be forgotten at a later moment, unless it registers again before. */
    public void removedAt(String id, long atMillis) {
        EndpointRow row = rows.get(id);
        if (row != null) {
            row.removedMillis = Math.min(row.removedMillis, atMillis);
        }
    }

    /** Forgets the endpoints whose moment has come. */
    public void sweep(long nowMillis) {
        List<String> due = new ArrayList<>();
        rows.forEach((id, row) -> {
            if (row.removedMillis <= nowMillis) {
                due.add(id);
            }
        });
        due.forEach(this::removed);
    }

    /** Ids of all endpoints known. */
    public Collection<String> ids() {
        return List.copyOf(rows.keySet());
    }

    /** An endpoint by its id. */
    public Optional<Registration> find(String id) {
        return Optional.ofNullable(rows.get(id)).map(row -> row.registration);
    }

    /** The best endpoint for a request; empty when the service has none that takes work. */
    public Optional<Registration> choose(long nowMillis, Wish wish) {
        EndpointRow best = null;
        double bestCost = Double.MAX_VALUE;
        for (EndpointRow row : list(wish.service())) {
            if (row.registration.leaving()
                    || row.inFlight >= wish.mostInFlight()
                    || wish.excluded().contains(row.registration.id())) {
                continue;
            }
            double cost = cost(nowMillis, row, wish) + random.nextDouble();
            if (cost < bestCost) {
                bestCost = cost;
                best = row;
            }
        }
        return Optional.ofNullable(best).map(row -> row.registration);
    }

    private double cost(long nowMillis, EndpointRow row, Wish wish) {
        int slots = Math.max(1, row.registration.slots());
        int load = row.inFlight + row.othersInFlight;
        double cost = row.latencyMillis * (1 + CROWDING * Math.min(load, slots));
        if (load >= slots) {
            cost += row.latencyMillis * (load - slots + 1) / slots;
        }
        if (!row.registration.dataCentre().equals(dataCentre)) {
            cost += OTHER_DATA_CENTRE_MILLIS;
        }
        if (row.fullUntilMillis > nowMillis) {
            cost += FULL_COST_MILLIS;
        }
        if (row.suspectUntilMillis > nowMillis) {
            cost += SUSPECT_COST_MILLIS;
        }
        double failureShare = row.failureShare(nowMillis);
        cost += FAILURE_COST_MILLIS * failureShare * failureShare;
        if (wish.cachedAt().filter(row.registration.id()::equals).isPresent()) {
            cost -= wish.cachedMillis();
        }
        return cost;
    }

    /** An attempt starts at an endpoint. */
    public void started(String id) {
        EndpointRow row = rows.get(id);
        if (row != null) {
            row.inFlight++;
        }
    }

    /** An attempt ended. */
    public void finished(long nowMillis, String id, Finish finish, long tookMillis) {
        EndpointRow row = rows.get(id);
        if (row == null) {
            return;
        }
        row.inFlight = Math.max(0, row.inFlight - 1);
        switch (finish) {
            case ANSWERED -> row.succeeded(nowMillis, tookMillis);
            case ERRORED -> row.errored(nowMillis);
            case FULL -> row.fullUntilMillis = nowMillis + FULL_MILLIS;
            case FAILED -> row.failed(nowMillis);
            case NEUTRAL -> {}
        }
    }

    /**
     * An attempt has had no sign of an answer for longer than a sound endpoint takes. It goes on, since its outcome is
     * unknown, but no more work should follow it there.
     */
    public void silent(long nowMillis, String id) {
        EndpointRow row = rows.get(id);
        if (row != null) {
            row.errored(nowMillis);
        }
    }

    /** Endpoints that fail a part of this VM's requests, with that share. */
    public Map<String, Double> failing(long nowMillis) {
        Map<String, Double> failing = new HashMap<>();
        rows.forEach((id, row) -> {
            double share = row.ownFailureShare(nowMillis);
            if (share >= FAILURE_WORTH_TELLING) {
                failing.put(id, share);
            }
        });
        return failing;
    }

    /** Another VM said which endpoints fail a part of its requests. */
    public void othersFail(long nowMillis, Map<String, Double> shares) {
        shares.forEach((id, share) -> {
            EndpointRow row = rows.get(id);
            if (row != null) {
                row.othersFail(nowMillis, Math.min(1, Math.max(0, share)));
            }
        });
    }

    /** Another VM said how much of its own runs where; endpoints left out have none of it. */
    public void otherRuns(String vm, Map<String, Integer> running) {
        forgetOther(vm);
        others.put(vm, running);
        running.forEach((id, count) -> addOthers(id, count));
    }

    /** Another VM is gone or silent. */
    public void forgetOther(String vm) {
        Map<String, Integer> former = others.remove(vm);
        if (former != null) {
            former.forEach((id, count) -> addOthers(id, -count));
        }
    }

    private void addOthers(String id, int count) {
        EndpointRow row = rows.get(id);
        if (row != null) {
            row.othersInFlight = Math.max(0, row.othersInFlight + count);
        }
    }

    /** Requests that this VM has at each endpoint where it has any. */
    public Map<String, Integer> running() {
        Map<String, Integer> running = new HashMap<>();
        rows.forEach((id, row) -> {
            if (row.inFlight > 0) {
                running.put(id, row.inFlight);
            }
        });
        return running;
    }

    /** Endpoints of a service that take work. */
    public int available(String service) {
        return (int) list(service).stream()
                .filter(row -> !row.registration.leaving())
                .count();
    }

    private List<EndpointRow> list(String service) {
        return byService.computeIfAbsent(service, ignored -> new ArrayList<>());
    }
}
