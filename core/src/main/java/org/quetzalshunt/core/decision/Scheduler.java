package org.quetzalshunt.core.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.agrona.collections.Long2ObjectHashMap;
import org.agrona.collections.Object2ObjectHashMap;
import org.quetzalshunt.core.decision.endpoint.TrackedEndpoint;
import org.quetzalshunt.core.decision.retry.RetryDelay;
import org.quetzalshunt.core.result.Refusal;

/**
 * Facade of the scheduling decisions of one entry. Not thread-safe; one thread owns it.
 *
 * <p>Requests are added by {@link #offer} and started by {@link #tick}. They end by {@link #recordFinish}, or leave the
 * queue without running by {@link #expire} or {@link #withdraw}.
 */
public final class Scheduler {
    /** Interval at which idle programs are removed from the tables. Each removal scans all programs. */
    private static final long SWEEP_MILLIS = 60_000;

    private final SchedulerSettings settings;
    private final SplittableRandom random;
    private final PrefixLocationTable prefixLocations = new PrefixLocationTable();
    private final Map<String, ServiceLoad> services = new Object2ObjectHashMap<>();
    private final List<ServiceLoad> serviceList = new ArrayList<>();
    private final Map<String, String> serviceOfEndpoint = new Object2ObjectHashMap<>();
    private final Long2ObjectHashMap<RunningItem> running = new Long2ObjectHashMap<>();
    private long lastSweepMillis;
    private int entries;

    private Scheduler(SchedulerSettings settings) {
        this.settings = settings;
        this.entries = settings.entries();
        this.random = new SplittableRandom(settings.seed());
    }

    /** Creates a scheduler without endpoints or queued requests. */
    public static Scheduler create(SchedulerSettings settings) {
        return new Scheduler(settings);
    }

    /** Updates the state of an endpoint; the first report of a name adds the endpoint. */
    public void recordReport(long nowMillis, EndpointState state) {
        String before = serviceOfEndpoint.put(state.name(), state.service());
        if (before != null && !before.equals(state.service())) {
            service(before).endpoints().remove(state.name());
        }
        service(state.service()).endpoints().recordReport(nowMillis, state);
    }

    /** Removes an endpoint; requests that run there still end through {@link #recordFinish}. */
    public void removeEndpoint(String endpoint) {
        String service = serviceOfEndpoint.remove(endpoint);
        if (service == null) {
            return;
        }
        service(service).endpoints().remove(endpoint);
        prefixLocations.removeEndpoint(endpoint);
    }

    /**
     * Sets the number of entries that share the endpoints, this one included, from the list of VMs. With too low a
     * number each entry uses part of the capacity of the others, with too high a number capacity stays idle.
     */
    public void setEntryCount(int newEntries) {
        entries = Math.max(1, newEntries);
        for (ServiceLoad service : serviceList) {
            service.endpoints().setEntries(entries);
        }
    }

    private ServiceLoad service(String name) {
        return services.computeIfAbsent(name, this::addService);
    }

    private ServiceLoad addService(String name) {
        ServiceLoad service = ServiceLoad.create(settings, prefixLocations, random.split());
        service.endpoints().setEntries(entries);
        serviceList.add(service);
        return service;
    }

    /**
     * Adds a request to the queue.
     *
     * @param queueLimit maximum number of queued requests of its account at this entry; zero or less for the limit in
     *     the settings
     * @return empty if the request was queued, otherwise the refusal, which always states "not run"
     */
    public Optional<Refusal> offer(long nowMillis, WorkItem item, int queueLimit) {
        int limit = queueLimit > 0 ? queueLimit : settings.queueLimitPerAccount();
        return service(item.service()).offer(nowMillis, item, limit);
    }

    /** Removes a queued request whose caller disconnected; false if it is not queued here. */
    public boolean withdraw(long id) {
        for (ServiceLoad service : serviceList) {
            if (service.withdraw(id)) {
                return true;
            }
        }
        return false;
    }

    /** Selects the requests to start now. */
    public List<Dispatch> tick(long nowMillis) {
        sweep(nowMillis);
        List<Dispatch> dispatches = null;
        for (ServiceLoad service : serviceList) {
            service.endpoints().refreshAll(nowMillis);
            if (service.queue().queued() == 0) {
                continue;
            }
            dispatches = dispatches == null ? new ArrayList<>() : dispatches;
            service.dispatch(nowMillis, dispatches, running);
        }
        return dispatches == null ? List.of() : dispatches;
    }

    private void sweep(long nowMillis) {
        if (nowMillis - lastSweepMillis < SWEEP_MILLIS) {
            return;
        }
        lastSweepMillis = nowMillis;
        prefixLocations.removeIdle(nowMillis);
        for (ServiceLoad service : serviceList) {
            service.programs().removeIdle(nowMillis);
        }
    }

    /** Removes queued requests whose deadline has passed or can no longer be met. */
    public List<ExpiredRequest> expire(long nowMillis) {
        List<ExpiredRequest> expired = new ArrayList<>();
        for (ServiceLoad service : serviceList) {
            service.expire(nowMillis, expired);
        }
        return expired;
    }

    /** Corrects the charge of a running request by the output that it has delivered so far. */
    public void recordProgress(long nowMillis, long id, long outputTokens) {
        RunningItem row = running.get(id);
        if (row != null) {
            service(row.item().service()).progressed(nowMillis, row, outputTokens);
        }
    }

    /** Ends an attempt. An unknown id is ignored, since the end of an attempt can be reported twice. */
    public void recordFinish(long nowMillis, long id, FinishedAttempt finish) {
        RunningItem row = running.remove(id);
        if (row != null) {
            service(row.item().service()).finished(nowMillis, row, finish);
        }
    }

    /** Removes the location of a program's prefix, because the program ended or its cache was freed. */
    public void removePrefixLocation(String cacheKey) {
        prefixLocations.remove(cacheKey);
        for (ServiceLoad service : serviceList) {
            service.programs().remove(cacheKey);
        }
    }

    /** The endpoint that ran the program's last turn and may still have its prefix in its cache. */
    public Optional<String> prefixEndpoint(String cacheKey) {
        return prefixLocations.find(cacheKey).map(PrefixLocationTable.Location::endpoint);
    }

    /** Takes one retry from the service's budget; false when the budget is spent. */
    public boolean tryTakeRetry(long nowMillis, String service) {
        return service(service).retries().tryTake(nowMillis);
    }

    /** Delay before the next attempt of a request, with random jitter from the seed. */
    public long retryDelayMillis(int attemptsBefore) {
        return RetryDelay.millis(attemptsBefore, random);
    }

    /** Number of queued requests. */
    public int queued() {
        int queued = 0;
        for (ServiceLoad service : serviceList) {
            queued += service.queue().queued();
        }
        return queued;
    }

    /** Number of requests that this entry has running. */
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
            for (TrackedEndpoint endpoint : service.endpoints().all()) {
                views.add(new EndpointView(
                        endpoint.name(),
                        endpoint.state().service(),
                        (int) endpoint.limit(),
                        endpoint.inFlight(),
                        endpoint.failures().ejected()));
            }
        }
        return views;
    }
}
