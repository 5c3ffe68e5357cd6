package org.quetzalshunt.core.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;

/** Facade: everything that decides under load for one entry. Not thread-safe; one thread owns it. */
public final class Scheduler {
    private static final int DEFAULT_SLOTS = 16;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final SchedulerSettings settings;
    private final Map<String, EndpointState> endpoints = new LinkedHashMap<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private final Map<String, Deque<WorkItem>> queues = new LinkedHashMap<>();
    private final Map<Long, Dispatch> running = new HashMap<>();
    private final Map<String, String> caches = new HashMap<>();
    private final Map<String, Long> attained = new HashMap<>();
    private int queuedCount;

    private Scheduler(SchedulerSettings settings) {
        this.settings = settings;
    }

    /** Starts with no endpoints and nothing queued. */
    public static Scheduler create(SchedulerSettings settings) {
        return new Scheduler(settings);
    }

    /** Takes in what an endpoint said; the first report of a name adds the endpoint. */
    public void endpointReported(long nowMillis, EndpointState state) {
        endpoints.put(state.name(), state);
    }

    /** Forgets an endpoint; requests that run there still end through {@link #finished}. */
    public void endpointRemoved(String endpoint) {
        endpoints.remove(endpoint);
        caches.values().removeIf(endpoint::equals);
    }

    /**
     * Offers a request.
     *
     * @param queueLimit waiting requests that its account may have here; zero or less for the settings' limit
     * @return empty when the request now waits; otherwise why it was refused, always "not run"
     */
    public Optional<Refusal> offer(long nowMillis, WorkItem item, int queueLimit) {
        Deque<WorkItem> queue = queues.computeIfAbsent(item.service(), name -> new ArrayDeque<>());
        long queuedOfAccount = queue.stream()
                .filter(waiting -> waiting.clientAccount().equals(item.clientAccount()))
                .count();
        int limit = queueLimit > 0 ? queueLimit : settings.queueLimitPerAccount();
        if (queuedOfAccount >= limit) {
            return Optional.of(Refusal.notRunRetryAfter(
                    ResultCode.QUEUE_FULL, "the client account has " + limit + " waiting", RETRY_AFTER_MILLIS));
        }
        queue.add(item);
        queuedCount++;
        return Optional.empty();
    }

    /** Takes back a request whose caller went away; false when it does not wait here. */
    public boolean withdraw(long id) {
        for (Deque<WorkItem> queue : queues.values()) {
            if (queue.removeIf(item -> item.id() == id)) {
                queuedCount--;
                return true;
            }
        }
        return false;
    }

    /** Decides what starts now. */
    public List<Dispatch> tick(long nowMillis) {
        if (queuedCount == 0) {
            return List.of();
        }
        List<Dispatch> dispatches = new ArrayList<>();
        for (Deque<WorkItem> queue : queues.values()) {
            dispatchFrom(queue, dispatches);
        }
        return dispatches;
    }

    private void dispatchFrom(Deque<WorkItem> queue, List<Dispatch> dispatches) {
        while (!queue.isEmpty()) {
            Optional<EndpointState> endpoint = choose(queue.peek());
            if (endpoint.isEmpty()) {
                return;
            }
            WorkItem item = queue.remove();
            queuedCount--;
            String name = endpoint.get().name();
            Dispatch dispatch = new Dispatch(item, name, 0);
            inFlight.merge(name, 1, Integer::sum);
            running.put(item.id(), dispatch);
            dispatches.add(dispatch);
        }
    }

    private Optional<EndpointState> choose(WorkItem item) {
        EndpointState best = null;
        for (EndpointState state : endpoints.values()) {
            if (takes(state, item) && (best == null || load(state) < load(best))) {
                best = state;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean takes(EndpointState state, WorkItem item) {
        if (state.leaving() || !state.healthy() || !state.service().equals(item.service())) {
            return false;
        }
        return load(state) < slots(state);
    }

    private int load(EndpointState state) {
        return inFlight.getOrDefault(state.name(), 0);
    }

    private static int slots(EndpointState state) {
        return state.slots() > 0 ? state.slots() : DEFAULT_SLOTS;
    }

    /** Takes out requests whose deadline passed, or can no longer be met, while they waited. */
    public List<Expired> expire(long nowMillis) {
        if (queuedCount == 0) {
            return List.of();
        }
        List<Expired> expired = new ArrayList<>();
        for (Deque<WorkItem> queue : queues.values()) {
            expireFrom(queue, nowMillis, expired);
        }
        return expired;
    }

    private void expireFrom(Deque<WorkItem> queue, long nowMillis, List<Expired> expired) {
        Iterator<WorkItem> items = queue.iterator();
        while (items.hasNext()) {
            WorkItem item = items.next();
            if (item.deadlineMillis() <= nowMillis) {
                items.remove();
                queuedCount--;
                expired.add(new Expired(
                        item, Refusal.notRun(ResultCode.DEADLINE_PASSED, ResultCode.DEADLINE_PASSED.meaning())));
            }
        }
    }

    /** Corrects the expected work of a running request by what it delivered so far. */
    public void progressed(long nowMillis, long id, long outputTokens) {
        if (!running.containsKey(id)) {
            return;
        }
    }

    /** Ends an attempt; an id that does not run here is ignored, since ends can come twice. */
    public void finished(long nowMillis, long id, Finish finish) {
        Dispatch dispatch = running.remove(id);
        if (dispatch == null) {
            return;
        }
        inFlight.computeIfPresent(dispatch.endpoint(), (name, count) -> count > 1 ? count - 1 : null);
        WorkItem item = dispatch.item();
        attained.merge(item.clientAccount(), finish.promptTokens() + finish.outputTokens(), Long::sum);
        if (finish.kind() == FinishKind.OK && !item.cacheKey().isEmpty()) {
            caches.put(item.cacheKey(), dispatch.endpoint());
        }
    }

    /** Forgets where a program's prefix is, because the program ended or its cache was freed. */
    public void cacheForgotten(String cacheKey) {
        caches.remove(cacheKey);
    }

    /** The endpoint that ran the program's last turn and may still hold its prefix. */
    public Optional<String> cachedAt(String cacheKey) {
        return Optional.ofNullable(caches.get(cacheKey));
    }

    /** Takes one retry from the service's budget; false when the budget is spent. */
    public boolean mayRetry(long nowMillis, String service) {
        return true;
    }

    /** Requests that wait here. */
    public int queued() {
        return queuedCount;
    }

    /** Requests that run for this entry. */
    public int running() {
        return running.size();
    }

    /** The client accounts, for status and metrics. */
    public List<AccountView> accounts() {
        return List.of();
    }

    /** The endpoints, for status and metrics. */
    public List<EndpointView> endpoints() {
        return endpoints.values().stream()
                .map(state -> new EndpointView(state.name(), state.service(), slots(state), load(state), false))
                .toList();
    }
}
