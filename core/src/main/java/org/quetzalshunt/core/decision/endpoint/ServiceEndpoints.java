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
import org.quetzalshunt.core.decision.Finish;
import org.quetzalshunt.core.decision.FinishKind;
import org.quetzalshunt.core.decision.queue.WorkCost;

/** Table of one service's endpoints, and the systems that keep what each has room for. */
public final class ServiceEndpoints {
    /**
     * Limit of an endpoint that is new or comes back. Answers a restarted engine: its cache is empty and its
     * programs come back to it all at once, so each computes its whole history again and all of them crawl. Two
     * start, and the limit doubles with each round of answers, as in TCP's slow start.
     */
    static final double SLOW_START_LIMIT = 2;

    /** Time after the first endpoint of a service within which others are not new, only new to this entry. */
    static final long ENTRY_START_MILLIS = 10_000;

    /** How often rows are looked at for what time alone changes: ejections that end, reports that grow old. */
    private static final long REFRESH_MILLIS = 250;

    private final EndpointRules rules;
    private int entries;
    private final SplittableRandom random;
    private final List<EndpointEntry> rows = new ArrayList<>();
    private final Map<String, EndpointEntry> byName = new Object2ObjectHashMap<>();
    private final IndexSet usable = new IndexSet();
    private final Map<Urgency, IndexSet> open = new EnumMap<>(Urgency.class);
    private final List<Integer> freePositions = new ArrayList<>();
    private final ServiceSpeed speed = new ServiceSpeed();
    private long firstSeenMillis;
    private boolean seen;
    private long refreshedMillis = Long.MIN_VALUE / 2;
    private int ejected;
    private double workPerMillis;

    private ServiceEndpoints(EndpointRules rules, int entries, SplittableRandom random) {
        this.rules = rules;
        this.entries = entries;
        this.random = random;
        for (Urgency urgency : Urgency.values()) {
            open.put(urgency, new IndexSet());
        }
    }

    /** An empty table. */
    public static ServiceEndpoints create(EndpointRules rules, int entries, SplittableRandom random) {
        return new ServiceEndpoints(rules, entries, random);
    }

    /** Finds an endpoint. */
    public Optional<EndpointEntry> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Every endpoint known, usable or not. */
    public Iterable<EndpointEntry> all() {
        return byName.values();
    }

    /** Endpoints that take work at all. */
    public int usableCount() {
        return usable.size();
    }

    /** One of the endpoints that take work, by number. */
    public EndpointEntry usable(int number) {
        return rows.get(usable.get(number));
    }

    /** Endpoints with room. */
    public int openCount(Urgency urgency) {
        return open(urgency).size();
    }

    /** One of the endpoints with room, by number. */
    public EndpointEntry open(Urgency urgency, int number) {
        return rows.get(open(urgency).get(number));
    }

    private IndexSet open(Urgency urgency) {
        return open.get(urgency);
    }

    /** Whether an endpoint has room for a request. */
    public boolean isOpen(EndpointEntry entry, PlacementRequest request) {
        return open(request.urgency()).contains(entry.position());
    }

    /** Mean speeds of the service. */
    public ServiceSpeed speed() {
        return speed;
    }

    /** Chance, from the scheduler's seed. */
    public SplittableRandom random() {
        return random;
    }

    /** Work that this entry's even part of the endpoints could do, in tokens of work per millisecond. */
    public double workPerMillis() {
        return workPerMillis;
    }

    /** Changes how many entries share the endpoints; rows follow within a quarter of a second. */
    public void shareAmong(int newEntries) {
        entries = newEntries;
    }

    /** Takes in a report. */
    public void reported(long nowMillis, EndpointState state) {
        if (!seen) {
            seen = true;
            firstSeenMillis = nowMillis;
        }
        EndpointEntry entry = byName.get(state.name());
        if (entry == null) {
            entry = add(nowMillis, state);
        }
        boolean back = state.healthy() && !entry.state().healthy();
        entry.report(nowMillis, state);
        if (back) {
            entry.startSlowly(rules.returnLimit().applyAsDouble(entry.slots()));
        }
        refresh(nowMillis, entry);
    }

    private EndpointEntry add(long nowMillis, EndpointState state) {
        int position = freePositions.isEmpty() ? rows.size() : freePositions.remove(freePositions.size() - 1);
        int slots = state.slots() > 0 ? state.slots() : EndpointEntry.DEFAULT_SLOTS;
        boolean entryStarts = nowMillis - firstSeenMillis <= ENTRY_START_MILLIS;
        EndpointEntry entry = EndpointEntry.of(position, state, slots);
        if (!entryStarts) {
            entry.startSlowly(rules.returnLimit().applyAsDouble(slots));
        }
        if (position == rows.size()) {
            rows.add(entry);
        } else {
            rows.set(position, entry);
        }
        byName.put(state.name(), entry);
        return entry;
    }

    /** Forgets an endpoint. */
    public void remove(String name) {
        EndpointEntry entry = byName.remove(name);
        if (entry == null) {
            return;
        }
        if (entry.failures().ejected()) {
            ejected--;
        }
        usable.set(entry.position(), false);
        open.values().forEach(set -> set.set(entry.position(), false));
        freePositions.add(entry.position());
    }

    /** Counts a request that starts. */
    public void started(long nowMillis, EndpointEntry entry) {
        entry.started();
        refresh(nowMillis, entry);
    }

    /** Takes in how an attempt ended. */
    public void ended(long nowMillis, EndpointEntry entry, Finish finish) {
        double loadPart = entry.load() / Math.max(1, entry.limit());
        entry.ended();
        if (finish.kind() == FinishKind.OK) {
            succeeded(nowMillis, entry, finish, loadPart);
        }
        if (finish.kind() == FinishKind.ENDPOINT_FAILED) {
            failed(nowMillis, entry);
        }
        refresh(nowMillis, entry);
    }

    private void succeeded(long nowMillis, EndpointEntry entry, Finish finish, double loadPart) {
        entry.setFailures(entry.failures().succeeded());
        if (entry.slowStart()) {
            entry.setLimit(Math.min(entry.slots(), entry.limit() + 1));
        }
        if (!entry.speeds().add(nowMillis, finish, loadPart, speed)) {
            return;
        }
        double before = entry.limit();
        double window = entry.speeds().takeWindow();
        double unloaded = Math.max(1e-9, entry.speeds().unloaded());
        entry.setLimit(rules.limit().next(entry.limit(), window, unloaded, entry.takePeak(), entry.slots()));
        if (entry.limit() < before || entry.limit() >= entry.slots()) {
            entry.endSlowStart();
        }
    }

    private void failed(long nowMillis, EndpointEntry entry) {
        entry.setFailures(entry.failures().failedOnce());
        entry.setLimit(Math.max(LimitRule.SMALLEST_LIMIT, entry.limit() * LimitRule.FAILURE_CUT));
        if (entry.failures().ejected()) {
            return;
        }
        OptionalLong millis = rules.ejection().eject(entry.failures(), ejected, byName.size());
        if (millis.isPresent()) {
            entry.setFailures(entry.failures().ejectedUntil(nowMillis + millis.getAsLong()));
            ejected++;
        }
    }

    /** Does what time alone brings; cheap when called again within a quarter of a second. */
    public void passTime(long nowMillis) {
        if (nowMillis - refreshedMillis < REFRESH_MILLIS) {
            return;
        }
        refreshedMillis = nowMillis;
        workPerMillis = 0;
        for (EndpointEntry entry : byName.values()) {
            if (entry.failures().ejected() && nowMillis >= entry.failures().ejectedUntilMillis()) {
                entry.setFailures(entry.failures().returned());
                entry.startSlowly(rules.returnLimit().applyAsDouble(entry.slots()));
                ejected--;
            }
            refresh(nowMillis, entry);
            if (entry.usable()) {
                workPerMillis += WorkCost.OUTPUT_TOKEN_COST
                        * entry.limit()
                        * entry.speeds().decodePerSecond(nowMillis, speed)
                        / 1_000
                        / entries;
            }
        }
    }

    private void refresh(long nowMillis, EndpointEntry entry) {
        if (byName.get(entry.name()) != entry) {
            return;
        }
        usable.set(entry.position(), entry.usable());
        for (Map.Entry<Urgency, IndexSet> set : open.entrySet()) {
            double part = rules.room().part(set.getKey());
            set.getValue().set(entry.position(), entry.hasRoom(nowMillis, part, entries));
        }
    }
}
