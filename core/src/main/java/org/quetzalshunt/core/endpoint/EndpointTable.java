package org.quetzalshunt.core.endpoint;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/**
 * The endpoints of all services, and the choice among them: the one at which a request is expected to end soonest.
 */
public final class EndpointTable {
    /** Latency assumed of an endpoint that has not answered yet. */
    private static final double FIRST_LATENCY_MILLIS = 100;

    /** After an endpoint said that it is full, it is asked again only when nothing else is free. */
    private static final long FULL_MILLIS = 40;

    /** Two failures among the last requests; one is not worth telling other VMs. */
    private static final double FAILURE_WORTH_TELLING = 0.2;

    /** Places told to other VMs at once; the newest are worth most. */
    private static final int MOST_NEWS = 512;

    private final PromptHomes homes;
    private final EndpointCost cost;
    private final Policy policy;
    private final SplittableRandom random;
    private final Map<String, EndpointRow> rows = new HashMap<>();
    private final Map<String, List<EndpointRow>> byService = new HashMap<>();
    private final Map<String, Map<String, Integer>> others = new HashMap<>();
    private final Map<String, Map<String, Long>> othersUnread = new HashMap<>();
    private final Map<String, EngineSpeed> speeds = new HashMap<>();
    private final ArrayDeque<PromptPlace> news = new ArrayDeque<>();

    private EndpointTable(String dataCentre, long startedMillis, Policy policy) {
        this.homes = new PromptHomes(startedMillis);
        this.cost = new EndpointCost(dataCentre, policy);
        this.policy = policy;
        this.random = new SplittableRandom(startedMillis);
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
    public Optional<Choice> choose(long nowMillis, Wish wish) {
        List<EndpointRow> open = list(wish.service()).stream()
                .filter(row -> !row.registration.leaving())
                .toList();
        boolean homed = policy.has(Mechanism.PROMPT_PLACES)
                && policy.has(Mechanism.PROMPT_HOMES)
                && !wish.prompt().isEmpty();
        Optional<PromptHomes.Home> home = homed ? homes.find(nowMillis, open, wish.prompt()) : Optional.empty();
        EngineSpeed speed = speed(wish.service());
        Choice best = null;
        for (EndpointRow row : open) {
            if (row.inFlight >= wish.mostInFlight() || wish.excluded().contains(row.registration.id())) {
                continue;
            }
            long missing = missingTokens(nowMillis, row, wish.prompt());
            long spared = home.filter(each -> each.endpoint().equals(row.registration.id()))
                    .map(PromptHomes.Home::sparedTokens)
                    .orElse(0L);
            double millis = cost.millis(nowMillis, row, speed, Math.max(0, missing - spared)) + random.nextDouble();
            if (best == null || millis < best.expectedMillis()) {
                best = new Choice(row.registration, missing, millis);
            }
        }
        return Optional.ofNullable(best);
    }

    private long missingTokens(long nowMillis, EndpointRow row, List<PromptPart> prompt) {
        if (!policy.has(Mechanism.PROMPT_PLACES)) {
            return 0;
        }
        return policy.has(Mechanism.PROMPT_HOMES)
                ? homes.missingTokens(nowMillis, row, prompt)
                : row.prompts.missingTokens(prompt);
    }

    private EngineSpeed speed(String service) {
        return speeds.computeIfAbsent(service, ignored -> new EngineSpeed());
    }

    /**
     * Whether some endpoint may hold the last part of a prompt, which belongs to one line of turns: a turn of it ran before.
     * A process that began among running engines cannot tell for a while.
     */
    public boolean mayHold(long nowMillis, List<PromptPart> prompt) {
        if (prompt.isEmpty()) {
            return false;
        }
        List<PromptPart> last = prompt.subList(prompt.size() - 1, prompt.size());
        return rows.values().stream().anyMatch(row -> row.prompts.heldParts(last) > 0 || homes.warm(nowMillis, row));
    }

    /** An endpoint is sent a prompt of which it has to read some tokens; it will hold all of it. */
    public void prompted(String id, Wish wish, long missingTokens) {
        EndpointRow row = rows.get(id);
        if (row == null) {
            return;
        }
        row.unreadTokens += missingTokens;
        row.memoryTokens = wish.memoryTokens();
        for (PromptPart part : wish.prompt()) {
            if (!row.prompts.holds(part)) {
                news.addLast(new PromptPlace(id, part));
            }
            row.prompts.hold(part, row.memoryTokens);
        }
        while (news.size() > MOST_NEWS) {
            news.removeFirst();
        }
    }

    /** What other VMs do not know yet of where prompts lie; each place is given out once. */
    public List<PromptPlace> placesToTell() {
        List<PromptPlace> places = List.copyOf(news);
        news.clear();
        return policy.has(Mechanism.SHARED_PLACES) ? places : List.of();
    }

    /** Another VM sent parts of prompts to endpoints. */
    public void othersPrompted(List<PromptPlace> places) {
        for (PromptPlace place : places) {
            EndpointRow row = rows.get(place.endpoint());
            if (row != null) {
                row.prompts.hold(place.part(), row.memoryTokens);
            }
        }
    }

    /** An endpoint sent the first event of an answer. */
    public void answerBegan(String id, long missingTokens, long tookMillis) {
        EndpointRow row = rows.get(id);
        if (row != null) {
            speed(row.registration.service()).read(missingTokens, tookMillis);
        }
    }

    /** An endpoint has read a prompt, or will not. */
    public void promptDone(String id, long missingTokens) {
        EndpointRow row = rows.get(id);
        if (row != null) {
            row.unreadTokens = Math.max(0, row.unreadTokens - missingTokens);
        }
    }

    /** Tokens that this VM sent to endpoints and that they have not read yet, where there are any. */
    public Map<String, Long> unread() {
        Map<String, Long> unread = new HashMap<>();
        rows.forEach((id, row) -> {
            if (row.unreadTokens > 0) {
                unread.put(id, row.unreadTokens);
            }
        });
        return unread;
    }

    /** An endpoint generated a whole answer; the time is that after its first event. */
    public void generated(String id, long tokensAfterFirst, long tookMillis) {
        EndpointRow row = rows.get(id);
        if (row == null || tokensAfterFirst <= 0) {
            return;
        }
        double millisForToken = Math.max(1, tookMillis) / (double) tokensAfterFirst;
        row.generated(millisForToken);
        speed(row.registration.service()).generated(tokensAfterFirst, millisForToken);
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

    /** Another VM said how many tokens it sent that are not read yet; endpoints left out have none of them. */
    public void otherUnread(String vm, Map<String, Long> unread) {
        forgetUnread(vm);
        othersUnread.put(vm, unread);
        unread.forEach((id, tokens) -> addUnread(id, tokens));
    }

    private void forgetUnread(String vm) {
        Map<String, Long> former = othersUnread.remove(vm);
        if (former != null) {
            former.forEach((id, tokens) -> addUnread(id, -tokens));
        }
    }

    private void addUnread(String id, long tokens) {
        EndpointRow row = rows.get(id);
        if (row != null) {
            row.othersUnreadTokens = Math.max(0, row.othersUnreadTokens + tokens);
        }
    }

    /** Another VM said how much of its own runs where; endpoints left out have none of it. */
    public void otherRuns(String vm, Map<String, Integer> running) {
        forgetRuns(vm);
        others.put(vm, running);
        running.forEach((id, count) -> addOthers(id, count));
    }

    /** Another VM is gone or silent. */
    public void forgetOther(String vm) {
        forgetRuns(vm);
        forgetUnread(vm);
    }

    private void forgetRuns(String vm) {
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
