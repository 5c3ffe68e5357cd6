package org.quetzalshunt.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/**
 * The endpoints of all services with the loads, failure rates, speeds and cached prompt prefixes that this VM and its
 * peers have observed. {@link EndpointSelector} chooses among them.
 */
public final class EndpointTable {
    /** Time after a rejection at capacity in which the endpoint is used only if no other has free slots. */
    private static final long FULL_PENALTY_MILLIS = 40;

    private final PrefixPlacement placement;
    private final SplittableRandom random;
    private final EndpointSelector selector;
    private final Policy policy;
    private final EndpointRows rows = new EndpointRows();
    private final EndpointSpeeds measuredSpeeds = new EndpointSpeeds(rows);
    private final SlowPhases slowPhases = new SlowPhases(rows, measuredSpeeds);
    private final PeerCounts peersInFlight = new PeerCounts(this::addPeerInFlight);
    private final PeerCounts peersPrefillBacklog = new PeerCounts(this::addPeerPrefillBacklog);
    private final Map<String, EngineSpeed> speeds = new HashMap<>();
    private final NewLocations newLocations = new NewLocations();
    private final LocalFirst localFirst;

    private EndpointTable(String dataCentre, long startedMillis, Policy policy) {
        this.placement = new PrefixPlacement(startedMillis);
        this.random = new SplittableRandom(startedMillis);
        this.localFirst = new LocalFirst(dataCentre);
        this.selector = new EndpointSelector(dataCentre, placement, policy, random, measuredSpeeds, localFirst);
        this.policy = policy;
    }

    /**
     * Creates an empty table for a VM in a data centre.
     *
     * @param startedMillis when the process started, in Unix milliseconds
     */
    public static EndpointTable create(String dataCentre, long startedMillis, Policy policy) {
        return new EndpointTable(dataCentre, startedMillis, policy);
    }

    /** Adds or updates an endpoint from its registration. */
    public void register(long nowMillis, Registration registration) {
        rows.register(registration).coldStart.setColdTime(nowMillis, registration.coldMillis(), random.nextDouble());
    }

    /**
     * Sets the data centres that operators evacuate. Their endpoints get no new requests; running requests are
     * completed.
     */
    public void setEvacuated(Set<String> dataCentres) {
        rows.setEvacuated(dataCentres);
    }

    /** Removes an endpoint. */
    public void remove(String id) {
        rows.remove(id);
    }

    /** Schedules the removal of an endpoint; a registration before that time cancels the removal. */
    public void scheduleRemoval(String id, long atMillis) {
        rows.find(id).ifPresent(row -> row.removalMillis = Math.min(row.removalMillis, atMillis));
    }

    /** Removes the endpoints whose scheduled removal is due. */
    public void removeDue(long nowMillis) {
        rows.removeDue(nowMillis);
    }

    /** Ids of all known endpoints. */
    public Collection<String> ids() {
        return rows.all().stream().map(row -> row.registration.id()).toList();
    }

    /** Finds an endpoint by its id. */
    public Optional<Registration> find(String id) {
        return rows.find(id).map(row -> row.registration);
    }

    /** Selects the best endpoint for a request; empty when the service has none that can be used. */
    public Optional<Selection> select(long nowMillis, RoutingRequest request) {
        Optional<Selection> selection =
                selector.select(nowMillis, rows.open(request.service()), speed(request.service()), request);
        selection
                .flatMap(selected -> rows.find(selected.registration().id()))
                .ifPresent(row ->
                        row.coldStart.recordSent(nowMillis, request.limits().coldRequestsPerSecond()));
        return selection;
    }

    private EngineSpeed speed(String service) {
        return speeds.computeIfAbsent(service, ignored -> new EngineSpeed());
    }

    /**
     * Whether some endpoint may have the last part of a prompt in its cache. That part belongs to a single
     * conversation, so the result distinguishes a later turn from a first one. Shortly after this process started,
     * every endpoint that was running long before may hold the part.
     */
    public boolean mayHavePrefixCached(long nowMillis, String service, List<PrefixPart> prompt) {
        if (prompt.isEmpty()) {
            return false;
        }
        List<PrefixPart> last = prompt.subList(prompt.size() - 1, prompt.size());
        return rows.open(service).stream()
                .anyMatch(row -> row.prefixCache.cachedParts(last) > 0 || placement.isAssumedWarm(nowMillis, row));
    }

    /**
     * Records that a prompt is sent to an endpoint, which will hold all of it in its cache.
     *
     * @param uncachedTokens tokens of the prompt that the endpoint has to prefill
     */
    public void recordPrompt(String id, RoutingRequest request, long uncachedTokens) {
        rows.find(id).ifPresent(row -> {
            row.prefillBacklogTokens += uncachedTokens;
            row.memoryTokens = request.memoryTokens();
            request.prompt()
                    .forEach(part -> recordPrefix(row, part, request.options().program()));
        });
    }

    private void recordPrefix(EndpointRow row, PrefixPart part, String program) {
        newLocations.record(row, part, program);
        row.prefixCache.add(part, row.memoryTokens);
    }

    /** Returns the prefix locations that have not been reported to peers yet, and clears them. */
    public List<PrefixLocation> takeNewLocations() {
        List<PrefixLocation> locations = newLocations.take();
        return policy.isEnabled(Mechanism.SHARED_PREFIX_LOCATIONS) ? locations : List.of();
    }

    /** Whether more than one program has sent a prompt part through this VM. */
    public boolean isSharedPrefix(PrefixPart part) {
        return newLocations.isShared(part.id());
    }

    /** Records the prefix locations that a peer reported. */
    public void onPeerPrefixLocations(List<PrefixLocation> locations) {
        locations.forEach(location -> rows.find(location.endpoint())
                .ifPresent(row -> row.prefixCache.add(location.part(), row.memoryTokens)));
    }

    /**
     * Records that an endpoint sent the first event of an answer.
     *
     * @param uncachedTokens tokens of the prompt that the endpoint had to prefill
     * @param tookMillis time since the request was sent
     */
    public void onFirstEvent(String id, long uncachedTokens, long tookMillis) {
        rows.find(id).ifPresent(row -> speed(row.registration.service()).recordPrefill(uncachedTokens, tookMillis));
    }

    /** Removes a prompt from the prefill backlog of an endpoint, because its prefill is done or was abandoned. */
    public void recordPrefillDone(String id, long uncachedTokens) {
        rows.find(id)
                .ifPresent(row -> row.prefillBacklogTokens = Math.max(0, row.prefillBacklogTokens - uncachedTokens));
    }

    /**
     * Records that an endpoint generated a complete answer.
     *
     * @param tokensAfterFirst tokens generated after the first event
     * @param tookMillis time since the first event
     */
    public void recordGeneration(String id, long tokensAfterFirst, long tookMillis) {
        if (tokensAfterFirst <= 0) {
            return;
        }
        double millisForToken = Math.max(1, tookMillis) / (double) tokensAfterFirst;
        rows.find(id).ifPresent(row -> {
            row.recordTokenTime(millisForToken);
            speed(row.registration.service()).recordGeneration(tokensAfterFirst);
        });
    }

    /** Records the start of an attempt at an endpoint. */
    public void started(String id) {
        rows.find(id).ifPresent(row -> row.inFlight++);
    }

    /** Adds the tokens of prompt and maximum output of a request that starts; a negative number when it ends. */
    public void addWork(String id, long tokens) {
        rows.find(id).ifPresent(row -> row.addWork(tokens));
    }

    /** Records the end of an attempt at an endpoint. */
    public void finished(long nowMillis, String id, AttemptOutcome outcome, long tookMillis) {
        rows.find(id).ifPresent(row -> finished(nowMillis, row, outcome, tookMillis));
    }

    private static void finished(long nowMillis, EndpointRow row, AttemptOutcome outcome, long tookMillis) {
        row.inFlight = Math.max(0, row.inFlight - 1);
        switch (outcome) {
            case ANSWERED -> row.recordSuccess(nowMillis, tookMillis);
            case ERRORED -> row.recordError(nowMillis);
            case FULL -> row.fullUntilMillis = nowMillis + FULL_PENALTY_MILLIS;
            case FAILED -> row.recordFailure(nowMillis);
            case NEUTRAL -> {}
        }
    }

    /**
     * Records that an attempt has been without a response for longer than a healthy endpoint takes. The attempt
     * continues, since its outcome is unknown, but it counts as an error of the endpoint so that no more work is sent
     * there.
     */
    public void markUnresponsive(long nowMillis, String id) {
        rows.find(id).ifPresent(row -> row.recordError(nowMillis));
    }

    /** Failure rates of this VM's own requests, for the endpoints with a significant rate. */
    public Map<String, Double> failureRates(long nowMillis) {
        return rows.failureRates(nowMillis);
    }

    /** Records the failure rates that a peer reported. */
    public void onPeerFailureRates(long nowMillis, Map<String, Double> failureRates) {
        failureRates.forEach((id, failureRate) -> rows.find(id)
                .ifPresent(row -> row.recordPeerFailureRate(nowMillis, Math.min(1, Math.max(0, failureRate)))));
    }

    /**
     * Replaces the prefill backlog that a peer reported.
     *
     * @param prefillBacklog tokens by endpoint that the peer sent and that are not prefilled yet; a missing endpoint
     *     has none
     */
    public void onPeerPrefillBacklog(String vm, Map<String, Long> prefillBacklog) {
        peersPrefillBacklog.replace(vm, prefillBacklog);
    }

    private void addPeerPrefillBacklog(String id, long tokens) {
        rows.find(id)
                .ifPresent(row -> row.peersPrefillBacklogTokens = Math.max(0, row.peersPrefillBacklogTokens + tokens));
    }

    /**
     * Replaces the requests in flight that a peer reported.
     *
     * @param running requests by endpoint; a missing endpoint has none
     */
    public void onPeerRunning(String vm, Map<String, Integer> running) {
        Map<String, Long> counts = new HashMap<>();
        running.forEach((id, count) -> counts.put(id, count.longValue()));
        peersInFlight.replace(vm, counts);
    }

    private void addPeerInFlight(String id, long count) {
        rows.find(id).ifPresent(row -> row.peersInFlight = (int) Math.max(0, row.peersInFlight + count));
    }

    /** Removes the load of a peer that is dead or unreachable. */
    public void removePeer(String vm) {
        peersInFlight.remove(vm);
        peersPrefillBacklog.remove(vm);
        measuredSpeeds.removePeer(vm);
    }

    /** Use of other data centres while the local endpoints are full. */
    public LocalFirst localFirst() {
        return localFirst;
    }

    /** Endpoints whose streams are overdue. */
    public SlowPhases slowPhases() {
        return slowPhases;
    }

    /** Speeds of the endpoints as this VM and its peers measure them. */
    public EndpointSpeeds speeds() {
        return measuredSpeeds;
    }

    /** Requests of this VM in flight by endpoint; endpoints without any are left out. */
    public Map<String, Integer> requestsInFlight() {
        return rows.nonZeroCounts(row -> row.inFlight);
    }

    /**
     * Prompt tokens by endpoint that this VM sent and that are not prefilled yet; endpoints without any are left out.
     */
    public Map<String, Long> prefillBacklog() {
        return rows.nonZeroCounts(row -> row.prefillBacklogTokens);
    }

    /** Slots of the healthy endpoints of a service, and their use by this VM and its peers. */
    public ServiceUse use(long nowMillis, String service) {
        return ServiceUse.of(nowMillis, rows.open(service), peersInFlight.peers());
    }

    /** Slots of a service's endpoints that accept work, and the known requests in flight there. */
    public SlotUse slotUse(long nowMillis, String service) {
        int slots = 0;
        int inFlight = 0;
        for (EndpointRow row : rows.open(service)) {
            if (row.ejectedUntilMillis <= nowMillis) {
                slots += row.registration.slots();
                inFlight += row.inFlight + row.peersInFlight;
            }
        }
        return new SlotUse(slots, inFlight);
    }

    /** Whether a service has endpoints that accept work in the data centres that the limits allow. */
    public Availability availability(String service, EndpointLimits limits) {
        return rows.availability(service, limits);
    }
}
