package org.quetzalshunt.core.routing;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/**
 * The endpoints of all services with what this VM and its peers have seen of them: loads, failures, speeds, and the prompt
 * prefixes in engines' memory. {@link EndpointSelector} chooses among them.
 */
public final class EndpointTable {
    /** After an endpoint said that it is full, it is asked again only when nothing else is free. */
    private static final long FULL_MILLIS = 40;

    /** Two failures among the last requests; one is not worth telling other VMs. */
    private static final double FAILURE_WORTH_TELLING = 0.2;

    /** Prefix locations in one report to peers; the newest are kept. */
    private static final int MOST_NEWS = 512;

    private final PrefixPlacement homes;
    private final SplittableRandom random;
    private final EndpointSelector selector;
    private final Policy policy;
    private final EndpointRows rows = new EndpointRows();
    private final PeerCounts peersRunning = new PeerCounts(this::addRunning);
    private final PeerCounts peersPrefillBacklog = new PeerCounts(this::addUnread);
    private final Map<String, EngineSpeed> speeds = new HashMap<>();
    private final ArrayDeque<PrefixLocation> news = new ArrayDeque<>();

    private EndpointTable(String dataCentre, long startedMillis, Policy policy) {
        this.homes = new PrefixPlacement(startedMillis);
        this.random = new SplittableRandom(startedMillis);
        this.selector = new EndpointSelector(dataCentre, homes, policy, random);
        this.policy = policy;
    }

    /**
     * Makes an empty table for a VM in a data centre.
     *
     * @param startedMillis when its process began, in Unix milliseconds
     */
    public static EndpointTable create(String dataCentre, long startedMillis, Policy policy) {
        return new EndpointTable(dataCentre, startedMillis, policy);
    }

    /** Takes in what an endpoint said of itself. */
    public void registered(long nowMillis, Registration registration) {
        rows.registered(registration).coldStart.cold(nowMillis, registration.coldMillis(), random.nextDouble());
    }

    /** Sets the data centres that operators evacuate: no request is sent there any more, what runs there ends there. */
    public void setEvacuated(Set<String> dataCentres) {
        rows.setEvacuated(dataCentres);
    }

    /** Forgets an endpoint. */
    public void removed(String id) {
        rows.removed(id);
    }

    /** Marks an endpoint to be forgotten at a later moment, unless it registers again before. */
    public void removedAt(String id, long atMillis) {
        rows.find(id).ifPresent(row -> row.removedMillis = Math.min(row.removedMillis, atMillis));
    }

    /** Forgets the endpoints whose moment has come. */
    public void sweep(long nowMillis) {
        rows.sweep(nowMillis);
    }

    /** Ids of all endpoints known. */
    public Collection<String> ids() {
        return rows.all().stream().map(row -> row.registration.id()).toList();
    }

    /** An endpoint by its id. */
    public Optional<Registration> find(String id) {
        return rows.find(id).map(row -> row.registration);
    }

    /** The best endpoint for a request; empty when the service has none that takes work. */
    public Optional<Selection> select(long nowMillis, RoutingRequest request) {
        Optional<Selection> selection =
                selector.select(nowMillis, rows.open(request.service()), speed(request.service()), request);
        selection
                .flatMap(selected -> rows.find(selected.registration().id()))
                .ifPresent(row -> row.coldStart.sent(nowMillis, request.limits().coldRequestsPerSecond()));
        return selection;
    }

    private EngineSpeed speed(String service) {
        return speeds.computeIfAbsent(service, ignored -> new EngineSpeed());
    }

    /**
     * Whether some endpoint may hold the last part of a prompt, which belongs to one line of turns: a turn of it ran before.
     * A process that began among running engines cannot tell for a while.
     */
    public boolean mayCache(long nowMillis, String service, List<PrefixPart> prompt) {
        if (prompt.isEmpty()) {
            return false;
        }
        List<PrefixPart> last = prompt.subList(prompt.size() - 1, prompt.size());
        return rows.open(service).stream()
                .anyMatch(row -> row.prompts.heldParts(last) > 0 || homes.warm(nowMillis, row));
    }

    /** An endpoint is sent a prompt of which it has to read some tokens; it will hold all of it. */
    public void prompted(String id, RoutingRequest request, long uncachedTokens) {
        rows.find(id).ifPresent(row -> {
            row.prefillBacklogTokens += uncachedTokens;
            row.memoryTokens = request.memoryTokens();
            request.prompt().forEach(part -> hold(row, part));
        });
    }

    private void hold(EndpointRow row, PrefixPart part) {
        if (!row.prompts.holds(part)) {
            news.addLast(new PrefixLocation(row.registration.id(), part));
        }
        if (news.size() > MOST_NEWS) {
            news.removeFirst();
        }
        row.prompts.hold(part, row.memoryTokens);
    }

    /** What other VMs do not know yet of where prompts lie; each place is given out once. */
    public List<PrefixLocation> takeNewLocations() {
        List<PrefixLocation> places = List.copyOf(news);
        news.clear();
        return policy.has(Mechanism.SHARED_PREFIX_LOCATIONS) ? places : List.of();
    }

    /** Another VM sent parts of prompts to endpoints. */
    public void onPeerPrefixes(List<PrefixLocation> places) {
        places.forEach(place ->
                rows.find(place.endpoint()).ifPresent(row -> row.prompts.hold(place.part(), row.memoryTokens)));
    }

    /** An endpoint sent the first event of an answer. */
    public void onFirstEvent(String id, long uncachedTokens, long tookMillis) {
        rows.find(id).ifPresent(row -> speed(row.registration.service()).read(uncachedTokens, tookMillis));
    }

    /** An endpoint has read a prompt, or will not. */
    public void prefillDone(String id, long uncachedTokens) {
        rows.find(id)
                .ifPresent(row -> row.prefillBacklogTokens = Math.max(0, row.prefillBacklogTokens - uncachedTokens));
    }

    /** An endpoint generated a whole answer; the time is that after its first event. */
    public void generated(String id, long tokensAfterFirst, long tookMillis) {
        if (tokensAfterFirst <= 0) {
            return;
        }
        double millisForToken = Math.max(1, tookMillis) / (double) tokensAfterFirst;
        rows.find(id).ifPresent(row -> {
            row.generated(millisForToken);
            speed(row.registration.service()).generated(tokensAfterFirst);
        });
    }

    /** An attempt starts at an endpoint. */
    public void started(String id) {
        rows.find(id).ifPresent(row -> row.inFlight++);
    }

    /** An attempt ended. */
    public void finished(long nowMillis, String id, AttemptOutcome finish, long tookMillis) {
        rows.find(id).ifPresent(row -> finished(nowMillis, row, finish, tookMillis));
    }

    private static void finished(long nowMillis, EndpointRow row, AttemptOutcome finish, long tookMillis) {
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
        rows.find(id).ifPresent(row -> row.errored(nowMillis));
    }

    /** Endpoints that fail a part of this VM's requests, with that share. */
    public Map<String, Double> failing(long nowMillis) {
        Map<String, Double> failing = new HashMap<>();
        for (EndpointRow row : rows.all()) {
            double share = row.ownFailureRate(nowMillis);
            if (share >= FAILURE_WORTH_TELLING) {
                failing.put(row.registration.id(), share);
            }
        }
        return failing;
    }

    /** Another VM said which endpoints fail a part of its requests. */
    public void onPeerFailureRates(long nowMillis, Map<String, Double> shares) {
        shares.forEach((id, share) ->
                rows.find(id).ifPresent(row -> row.onPeerFailureRates(nowMillis, Math.min(1, Math.max(0, share)))));
    }

    /** Another VM said how many tokens it sent that are not read yet; endpoints left out have none of them. */
    public void onPeerPrefillBacklog(String vm, Map<String, Long> unread) {
        peersPrefillBacklog.report(vm, unread);
    }

    private void addUnread(String id, long tokens) {
        rows.find(id)
                .ifPresent(row -> row.peersPrefillBacklogTokens = Math.max(0, row.peersPrefillBacklogTokens + tokens));
    }

    /** Another VM said how much of its own runs where; endpoints left out have none of it. */
    public void onPeerRunning(String vm, Map<String, Integer> running) {
        Map<String, Long> counts = new HashMap<>();
        running.forEach((id, count) -> counts.put(id, count.longValue()));
        peersRunning.report(vm, counts);
    }

    private void addRunning(String id, long count) {
        rows.find(id).ifPresent(row -> row.peersInFlight = (int) Math.max(0, row.peersInFlight + count));
    }

    /** Another VM is gone or silent. */
    public void removePeer(String vm) {
        peersRunning.forget(vm);
        peersPrefillBacklog.forget(vm);
    }

    /** Requests that this VM has at each endpoint where it has any. */
    public Map<String, Integer> running() {
        return nonZero(row -> row.inFlight);
    }

    /** Tokens that this VM sent to endpoints and that they have not read yet, where there are any. */
    public Map<String, Long> unread() {
        return nonZero(row -> row.prefillBacklogTokens);
    }

    private <N extends Number> Map<String, N> nonZero(Function<EndpointRow, N> count) {
        Map<String, N> counts = new HashMap<>();
        for (EndpointRow row : rows.all()) {
            N here = count.apply(row);
            if (here.longValue() > 0) {
                counts.put(row.registration.id(), here);
            }
        }
        return counts;
    }

    /** Whether the service has endpoints that take work where a request may run. */
    public Availability availability(String service, EndpointLimits limits) {
        if (rows.open(service).stream().anyMatch(row -> limits.allows(row.registration.dataCentre()))) {
            return Availability.AVAILABLE;
        }
        boolean evacuated =
                rows.evacuated(service).stream().anyMatch(row -> limits.allows(row.registration.dataCentre()));
        return evacuated ? Availability.EVACUATED : Availability.NONE;
    }
}
