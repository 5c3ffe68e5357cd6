package org.quetzalshunt.core.decision.endpoint;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.agrona.collections.Object2ObjectHashMap;
import org.quetzalshunt.core.decision.EndpointState;
import org.quetzalshunt.core.decision.FinishKind;
import org.quetzalshunt.core.decision.FinishedAttempt;
import org.quetzalshunt.core.decision.queue.WorkCost;

/** The endpoints of one service, with their limits, failures and ejections, indexed by whether they have capacity. */
public final class ServiceEndpoints {
    /**
     * Initial limit of an endpoint that is new or has recovered. After the restart of an engine its cache is empty, and
     * if all its programs returned at once, each would compute its whole history again and slow down the others. The
     * limit starts at two and doubles with each round of answers, as in the slow start of TCP.
     */
    static final double SLOW_START_LIMIT = 2;

    /**
     * Time after the first report of a service during which unknown endpoints are assumed to be running already: they
     * are new only to this entry.
     */
    static final long ENTRY_START_MILLIS = 10_000;

    /** Interval of the refresh for changes that depend on time alone: ejections that end and reports that expire. */
    private static final long REFRESH_MILLIS = 250;

    private final EndpointRules rules;
    private int entries;
    private final SplittableRandom random;
    private final List<TrackedEndpoint> rows = new ArrayList<>();
    private final Map<String, TrackedEndpoint> byName = new Object2ObjectHashMap<>();
    private final IndexSet usable = new IndexSet();
    private final Map<Urgency, IndexSet> open = new EnumMap<>(Urgency.class);
    private final List<Integer> freePositions = new ArrayList<>();
    private final ServiceSpeed speed = new ServiceSpeed();
    private long firstSeenMillis;
    private boolean reported;
    private long lastRefreshMillis = Long.MIN_VALUE / 2;
    private int ejectedCount;
    private double workPerMillis;

    private ServiceEndpoints(EndpointRules rules, int entries, SplittableRandom random) {
        this.rules = rules;
        this.entries = entries;
        this.random = random;
        for (Urgency urgency : Urgency.values()) {
            open.put(urgency, new IndexSet());
        }
    }

    /** Creates an empty table. */
    public static ServiceEndpoints create(EndpointRules rules, int entries, SplittableRandom random) {
        return new ServiceEndpoints(rules, entries, random);
    }

    /** Finds an endpoint. */
    public Optional<TrackedEndpoint> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** All known endpoints, usable or not. */
    public Iterable<TrackedEndpoint> all() {
        return byName.values();
    }

    /** Number of endpoints that accept work. */
    public int usableCount() {
        return usable.size();
    }

    /** Returns one of the endpoints that accept work, by its position among them. */
    public TrackedEndpoint usable(int index) {
        return rows.get(usable.get(index));
    }

    /** Number of endpoints with capacity for requests of an urgency. */
    public int openCount(Urgency urgency) {
        return open(urgency).size();
    }

    /** Returns one of the endpoints with capacity for requests of an urgency, by its position among them. */
    public TrackedEndpoint open(Urgency urgency, int index) {
        return rows.get(open(urgency).get(index));
    }

    private IndexSet open(Urgency urgency) {
        return open.get(urgency);
    }

    /** Whether an endpoint has capacity for a request. */
    public boolean hasCapacity(TrackedEndpoint endpoint, PlacementRequest request) {
        return open(request.urgency()).contains(endpoint.position());
    }

    /** Mean speeds of the service. */
    public ServiceSpeed speed() {
        return speed;
    }

    /** Random generator, seeded by the scheduler. */
    public SplittableRandom random() {
        return random;
    }

    /** Estimated throughput of this entry's equal share of the endpoints, in tokens of work per millisecond. */
    public double workPerMillis() {
        return workPerMillis;
    }

    /** Sets the number of entries that share the endpoints; it takes effect within a quarter of a second. */
    public void setEntries(int newEntries) {
        entries = newEntries;
    }

    /** Updates an endpoint from its report. */
    public void recordReport(long nowMillis, EndpointState state) {
        if (!reported) {
            reported = true;
            firstSeenMillis = nowMillis;
        }
        TrackedEndpoint endpoint = byName.get(state.name());
        if (endpoint == null) {
            endpoint = add(nowMillis, state);
        }
        boolean recovered = state.healthy() && !endpoint.state().healthy();
        endpoint.recordReport(nowMillis, state);
        if (recovered) {
            endpoint.beginSlowStart(rules.initialLimit().applyAsDouble(endpoint.slots()));
        }
        refresh(nowMillis, endpoint);
    }

    private TrackedEndpoint add(long nowMillis, EndpointState state) {
        int position = freePositions.isEmpty() ? rows.size() : freePositions.remove(freePositions.size() - 1);
        int slots = state.slots() > 0 ? state.slots() : TrackedEndpoint.DEFAULT_SLOTS;
        boolean entryIsStarting = nowMillis - firstSeenMillis <= ENTRY_START_MILLIS;
        TrackedEndpoint endpoint = TrackedEndpoint.of(position, state, slots);
        if (!entryIsStarting) {
            endpoint.beginSlowStart(rules.initialLimit().applyAsDouble(slots));
        }
        if (position == rows.size()) {
            rows.add(endpoint);
        } else {
            rows.set(position, endpoint);
        }
        byName.put(state.name(), endpoint);
        return endpoint;
    }

    /** Removes an endpoint. */
    public void remove(String name) {
        TrackedEndpoint endpoint = byName.remove(name);
        if (endpoint == null) {
            return;
        }
        if (endpoint.failures().ejected()) {
            ejectedCount--;
        }
        usable.setPresent(endpoint.position(), false);
        open.values().forEach(set -> set.setPresent(endpoint.position(), false));
        freePositions.add(endpoint.position());
    }

    /** Records the start of a request. */
    public void recordStart(long nowMillis, TrackedEndpoint endpoint) {
        endpoint.recordStart();
        refresh(nowMillis, endpoint);
    }

    /** Records the end of an attempt. */
    public void recordEnd(long nowMillis, TrackedEndpoint endpoint, FinishedAttempt finish) {
        double loadPart = endpoint.load() / Math.max(1, endpoint.limit());
        endpoint.recordEnd();
        if (finish.kind() == FinishKind.OK) {
            recordSuccess(nowMillis, endpoint, finish, loadPart);
        }
        if (finish.kind() == FinishKind.ENDPOINT_FAILED) {
            recordFailure(nowMillis, endpoint);
        }
        refresh(nowMillis, endpoint);
    }

    private void recordSuccess(long nowMillis, TrackedEndpoint endpoint, FinishedAttempt finish, double loadPart) {
        endpoint.setFailures(endpoint.failures().withSuccess());
        if (endpoint.isSlowStart()) {
            endpoint.setLimit(Math.min(endpoint.slots(), endpoint.limit() + 1));
        }
        if (!endpoint.speeds().add(nowMillis, finish, loadPart, speed)) {
            return;
        }
        double previousLimit = endpoint.limit();
        double windowMean = endpoint.speeds().takeWindowMean();
        double unloaded = Math.max(1e-9, endpoint.speeds().unloaded());
        endpoint.setLimit(
                rules.limit().next(endpoint.limit(), windowMean, unloaded, endpoint.takePeakLoad(), endpoint.slots()));
        if (endpoint.limit() < previousLimit || endpoint.limit() >= endpoint.slots()) {
            endpoint.endSlowStart();
        }
    }

    private void recordFailure(long nowMillis, TrackedEndpoint endpoint) {
        endpoint.setFailures(endpoint.failures().withFailure());
        endpoint.setLimit(Math.max(LimitRule.MINIMUM_LIMIT, endpoint.limit() * LimitRule.FAILURE_FACTOR));
        if (endpoint.failures().ejected()) {
            return;
        }
        OptionalLong millis = rules.ejection().ejectionMillis(endpoint.failures(), ejectedCount, byName.size());
        if (millis.isPresent()) {
            endpoint.setFailures(endpoint.failures().ejectedUntil(nowMillis + millis.getAsLong()));
            ejectedCount++;
        }
    }

    /** Applies the changes that depend on time alone, at most once in a quarter of a second. */
    public void refreshAll(long nowMillis) {
        if (nowMillis - lastRefreshMillis < REFRESH_MILLIS) {
            return;
        }
        lastRefreshMillis = nowMillis;
        workPerMillis = 0;
        for (TrackedEndpoint endpoint : byName.values()) {
            if (endpoint.failures().ejected()
                    && nowMillis >= endpoint.failures().ejectedUntilMillis()) {
                endpoint.setFailures(endpoint.failures().readmitted());
                endpoint.beginSlowStart(rules.initialLimit().applyAsDouble(endpoint.slots()));
                ejectedCount--;
            }
            refresh(nowMillis, endpoint);
            if (endpoint.usable()) {
                workPerMillis += WorkCost.OUTPUT_TOKEN_COST
                        * endpoint.limit()
                        * endpoint.speeds().decodePerSecond(nowMillis, speed)
                        / 1_000
                        / entries;
            }
        }
    }

    private void refresh(long nowMillis, TrackedEndpoint endpoint) {
        if (byName.get(endpoint.name()) != endpoint) {
            return;
        }
        usable.setPresent(endpoint.position(), endpoint.usable());
        for (Map.Entry<Urgency, IndexSet> set : open.entrySet()) {
            double part = rules.room().part(set.getKey());
            set.getValue().setPresent(endpoint.position(), endpoint.hasCapacity(nowMillis, part, entries));
        }
    }
}
