package org.quetzalshunt.core.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.agrona.collections.Long2ObjectHashMap;
import org.agrona.collections.Object2ObjectHashMap;
import org.quetzalshunt.core.decision.endpoint.EndpointEntry;
import org.quetzalshunt.core.decision.retry.RetryDelay;
import org.quetzalshunt.core.result.Refusal;

/**
 * Facade: everything that decides under load for one entry. Not thread-safe; one thread owns it.
 *
 * <p>Requests come in by {@link #offer}, start by {@link #tick}, leave unserved by {@link #expire} or {@link
 * #withdraw}, and end by {@link #finished}.
 */
public final class Scheduler {
    /** How often rows of programs that were lost sight of are looked for; the sweep is a scan over all programs. */
    private static final long SWEEP_MILLIS = 60_000;

    private final SchedulerSettings settings;
    private final SplittableRandom random;
    private final CachePlaces caches = new CachePlaces();
    private final Map<String, ServiceLoad> services = new Object2ObjectHashMap<>();
    private final List<ServiceLoad> serviceList = new ArrayList<>();
    private final Map<String, String> serviceOfEndpoint = new Object2ObjectHashMap<>();
    private final Long2ObjectHashMap<RunningItem> running = new Long2ObjectHashMap<>();
    private long sweptMillis;
    private int entries;

    private Scheduler(SchedulerSettings settings) {
        this.settings = settings;
        this.entries = settings.entries();
        this.random = new SplittableRandom(settings.seed());
    }

    /** Starts with no endpoints and nothing queued. */
    public static Scheduler create(SchedulerSettings settings) {
        return new Scheduler(settings);
    }

    /** Takes in what an endpoint said; the first report of a name adds the endpoint. */
    public void endpointReported(long nowMillis, EndpointState state) {
        String before = serviceOfEndpoint.put(state.name(), state.service());
        if (before != null && !before.equals(state.service())) {
            service(before).endpoints().remove(state.name());
        }
        service(state.service()).endpoints().reported(nowMillis, state);
    }

    /** Forgets an endpoint; requests that run there still end through {@link #finished}. */
    public void endpointRemoved(String endpoint) {
        String service = serviceOfEndpoint.remove(endpoint);
        if (service == null) {
            return;
        }
        service(service).endpoints().remove(endpoint);
        caches.forgetEndpoint(endpoint);
    }

    /**
     * Changes how many entries share the endpoints, this one included, as the list of VMs says. Answers entries that
     * come and go: with too low a number each takes another's part of every endpoint, with too high a one room idles.
     */
    public void entriesChanged(int newEntries) {
        entries = Math.max(1, newEntries);
        for (ServiceLoad service : serviceList) {
            service.endpoints().shareAmong(entries);
        }
    }

    private ServiceLoad service(String name) {
        return services.computeIfAbsent(name, this::addService);
    }

    private ServiceLoad addService(String name) {
        ServiceLoad service = ServiceLoad.create(settings, caches, random.split());
        service.endpoints().shareAmong(entries);
        serviceList.add(service);
        return service;
    }

    /**
     * Offers a request.
     *
     * @param queueLimit waiting requests that its account may have here; zero or less for the settings' limit
     * @return empty when the request now waits; otherwise why it was refused, always "not run"
     */
    public Optional<Refusal> offer(long nowMillis, WorkItem item, int queueLimit) {
        int limit = queueLimit > 0 ? queueLimit : settings.queueLimitPerAccount();
        return service(item.service()).offer(nowMillis, item, limit);
    }

    /** Takes back a request whose caller went away; false when it does not wait here. */
    public boolean withdraw(long id) {
        for (ServiceLoad service : serviceList) {
            if (service.withdraw(id)) {
                return true;
            }
        }
        return false;
    }

    /** Decides what starts now. */
    public List<Dispatch> tick(long nowMillis) {
        sweep(nowMillis);
        List<Dispatch> dispatches = null;
        for (ServiceLoad service : serviceList) {
            service.endpoints().passTime(nowMillis);
            if (service.queue().queued() == 0) {
                continue;
            }
            dispatches = dispatches == null ? new ArrayList<>() : dispatches;
            service.dispatch(nowMillis, dispatches, running);
        }
        return dispatches == null ? List.of() : dispatches;
    }

    private void sweep(long nowMillis) {
        if (nowMillis - sweptMillis < SWEEP_MILLIS) {
            return;
        }
        sweptMillis = nowMillis;
        caches.sweep(nowMillis);
        for (ServiceLoad service : serviceList) {
            service.programs().sweep(nowMillis);
        }
    }

    /** Takes out requests whose deadline passed, or can no longer be met, while they waited. */
    public List<Expired> expire(long nowMillis) {
        List<Expired> expired = new ArrayList<>();
        for (ServiceLoad service : serviceList) {
            service.expire(nowMillis, expired);
        }
        return expired;
    }

    /** Corrects the expected work of a running request by what it delivered so far. */
    public void progressed(long nowMillis, long id, long outputTokens) {
        RunningItem row = running.get(id);
        if (row != null) {
            service(row.item().service()).progressed(nowMillis, row, outputTokens);
        }
    }

    /** Ends an attempt; an id that does not run here is ignored, since ends can come twice. */
    public void finished(long nowMillis, long id, Finish finish) {
        RunningItem row = running.remove(id);
        if (row != null) {
            service(row.item().service()).finished(nowMillis, row, finish);
        }
    }

    /** Forgets where a program's prefix is, because the program ended or its cache was freed. */
    public void cacheForgotten(String cacheKey) {
        caches.forget(cacheKey);
        for (ServiceLoad service : serviceList) {
            service.programs().forget(cacheKey);
        }
    }

    /** The endpoint that ran the program's last turn and may still hold its prefix. */
    public Optional<String> cachedAt(String cacheKey) {
        return caches.find(cacheKey).map(CachePlaces.Place::endpoint);
    }

    /** Takes one retry from the service's budget; false when the budget is spent. */
    public boolean mayRetry(long nowMillis, String service) {
        return service(service).retries().take(nowMillis);
    }

    /** How long to wait before the next attempt of a request that failed so often; jittered from the seed. */
    public long retryDelayMillis(int attemptsBefore) {
        return RetryDelay.millis(attemptsBefore, random);
    }

    /** Requests that wait here. */
    public int queued() {
        int queued = 0;
        for (ServiceLoad service : serviceList) {
            queued += service.queue().queued();
        }
        return queued;
    }

    /** Requests that run for this entry. */
    public int running() {
        return running.size();
    }

    /** The client accounts, for status and metrics. */
    public List<AccountView> accounts() {
        List<AccountView> views = new ArrayList<>();
        services.forEach((name, service) -> views.addAll(service.accountViews(name)));
        return views;
    }

    /** The endpoints, for status and metrics. */
    public List<EndpointView> endpoints() {
        List<EndpointView> views = new ArrayList<>();
        for (ServiceLoad service : serviceList) {
            for (EndpointEntry entry : service.endpoints().all()) {
                views.add(new EndpointView(
                        entry.name(),
                        entry.state().service(),
                        (int) entry.limit(),
                        entry.inFlight(),
                        entry.failures().ejected()));
            }
        }
        return views;
    }
}
