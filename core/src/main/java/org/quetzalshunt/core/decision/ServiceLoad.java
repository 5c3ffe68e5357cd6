package org.quetzalshunt.core.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.agrona.collections.Long2ObjectHashMap;
import org.quetzalshunt.core.decision.admission.AdmissionRule;
import org.quetzalshunt.core.decision.admission.DrainRate;
import org.quetzalshunt.core.decision.admission.Forecast;
import org.quetzalshunt.core.decision.endpoint.EndpointChoice;
import org.quetzalshunt.core.decision.endpoint.EndpointEntry;
import org.quetzalshunt.core.decision.endpoint.PlacementRequest;
import org.quetzalshunt.core.decision.endpoint.ServiceEndpoints;
import org.quetzalshunt.core.decision.endpoint.Urgency;
import org.quetzalshunt.core.decision.queue.AccountQueue;
import org.quetzalshunt.core.decision.queue.FairQueue;
import org.quetzalshunt.core.decision.queue.ProgramTable;
import org.quetzalshunt.core.decision.queue.QueueOrder;
import org.quetzalshunt.core.decision.queue.WaitingItem;
import org.quetzalshunt.core.decision.queue.WorkCost;
import org.quetzalshunt.core.decision.retry.RetryBudget;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;

/** One service: its queue, its endpoints, and the systems that run over both each tick. */
final class ServiceLoad {
    /**
     * Waiting after which a new program may use the room kept for programs in progress. Answers a long saturation by
     * later turns, which would otherwise shut new programs out for good. Five seconds: several answers long, so that
     * a burst of later turns still goes first, and a twelfth of the usual deadline.
     */
    static final long NEW_PROGRAM_PATIENCE_MILLIS = 5_000;

    private static final Comparator<GiveUp> BY_TIME = Comparator.comparingLong(GiveUp::atMillis);

    private record GiveUp(WaitingItem waiting, long atMillis) {}

    private final Policy policy;
    private final FairQueue queue;
    private final ServiceEndpoints endpoints;
    private final EndpointChoice choice;
    private final ProgramTable programs = ProgramTable.create();
    private final CachePlaces caches;
    private final DrainRate drain = DrainRate.create();
    private final RetryBudget retries = RetryBudget.create();
    private final Long2ObjectHashMap<WaitingItem> waitingById = new Long2ObjectHashMap<>();
    private final PriorityQueue<GiveUp> giveUps = new PriorityQueue<>(BY_TIME);

    private ServiceLoad(SchedulerSettings settings, CachePlaces caches, SplittableRandom random) {
        this.policy = settings.policy();
        this.queue = FairQueue.create(policy.order(), policy.charge(), programs);
        this.endpoints = ServiceEndpoints.create(policy.rules(), settings.entries(), random);
        this.choice = policy.choice().apply(settings.dataCentre());
        this.caches = caches;
    }

    static ServiceLoad create(SchedulerSettings settings, CachePlaces caches, SplittableRandom random) {
        return new ServiceLoad(settings, caches, random);
    }

    ServiceEndpoints endpoints() {
        return endpoints;
    }

    RetryBudget retries() {
        return retries;
    }

    FairQueue queue() {
        return queue;
    }

    ProgramTable programs() {
        return programs;
    }

    Optional<Refusal> offer(long nowMillis, WorkItem item, int queueLimit) {
        AccountQueue account = queue.account(item.clientAccount());
        boolean continuing = policy.begun().test(item.turn() + programs.attained(item));
        Forecast forecast = forecast(nowMillis, item, account, continuing);
        if (account.queued() >= queueLimit) {
            return Optional.of(Refusal.notRunRetryAfter(
                    ResultCode.QUEUE_FULL,
                    "the client account has " + queueLimit + " waiting",
                    AdmissionRule.bounded(forecast.waitMillis() / 2)));
        }
        OptionalLong retryAfter = policy.admission().refuse(forecast);
        if (retryAfter.isPresent()) {
            return Optional.of(unreachable(retryAfter.getAsLong()));
        }
        long work = WorkCost.expected(item, believedCached(item));
        WaitingItem waiting = queue.add(item, work, continuing);
        waitingById.put(item.id(), waiting);
        giveUps.add(new GiveUp(waiting, item.deadlineMillis() - Math.round(forecast.runMillis())));
        if (item.attemptsBefore() == 0) {
            retries.requested();
        }
        return Optional.empty();
    }

    private static Refusal unreachable(long retryAfterMillis) {
        return Refusal.notRunRetryAfter(
                ResultCode.DEADLINE_UNREACHABLE, ResultCode.DEADLINE_UNREACHABLE.meaning(), retryAfterMillis);
    }

    private Forecast forecast(long nowMillis, WorkItem item, AccountQueue account, boolean continuing) {
        double rate = Math.max(drain.perMillis(nowMillis), endpoints.workPerMillis());
        double share = share(account, item);
        long ahead = account.workAhead(continuing);
        double wait = ahead == 0 || rate <= 0 ? 0 : ahead / (rate * share);
        long left = item.deadlineMillis() - nowMillis;
        double prefill =
                (item.promptTokens() - believedCached(item)) / endpoints.speed().prefillPerSecond();
        double decode = item.expectedOutputTokens() / endpoints.speed().decodePerSecond();
        // The answer's length is a guess, so it never claims more than half of the time that the caller gave.
        double run = Math.max(0, Math.min(1_000 * (prefill + decode), left / 2.0));
        return new Forecast(wait, run, left);
    }

    private double share(AccountQueue account, WorkItem item) {
        double all = 0;
        for (AccountQueue other : queue.accounts()) {
            if (other.queued() > 0 && other != account) {
                all += other.weight();
            }
        }
        double own = Math.max(1e-3, item.weight());
        return own / (all + own);
    }

    private long believedCached(WorkItem item) {
        return place(item).map(CachePlaces.Place::tokens).orElse(0L);
    }

    private Optional<CachePlaces.Place> place(WorkItem item) {
        return caches.find(item.cacheKey()).flatMap(place -> endpoints
                .find(place.endpoint())
                .map(entry -> entry.horizon().believes(place.mark()) ? place : place.doubted()));
    }

    boolean withdraw(long id) {
        WaitingItem waiting = waitingById.remove(id);
        if (waiting == null) {
            return false;
        }
        queue.remove(waiting);
        return true;
    }

    void dispatch(long nowMillis, List<Dispatch> dispatches, Long2ObjectHashMap<RunningItem> running) {
        while (queue.queued() > 0) {
            Optional<FairQueue.Placed<EndpointEntry>> next = queue.next(waiting -> choose(nowMillis, waiting));
            if (next.isEmpty()) {
                return;
            }
            start(nowMillis, next.get(), dispatches, running);
        }
    }

    private Optional<EndpointEntry> choose(long nowMillis, WaitingItem waiting) {
        WorkItem item = waiting.item();
        Optional<CachePlaces.Place> place = place(item);
        PlacementRequest request = new PlacementRequest(
                nowMillis,
                item,
                urgency(nowMillis, waiting),
                place.flatMap(found -> endpoints.find(found.endpoint())),
                place.map(CachePlaces.Place::tokens).orElse(0L));
        return choice.choose(request, endpoints);
    }

    private Urgency urgency(long nowMillis, WaitingItem waiting) {
        if (queue.underserved(waiting.item().clientAccount())) {
            return Urgency.UNDERSERVED;
        }
        if (waiting.continuing()) {
            return Urgency.LATER_TURN;
        }
        boolean aged = nowMillis - waiting.item().arrivedMillis() >= NEW_PROGRAM_PATIENCE_MILLIS;
        return aged ? Urgency.AGED_PROGRAM : Urgency.NEW_PROGRAM;
    }

    private void start(
            long nowMillis,
            FairQueue.Placed<EndpointEntry> placed,
            List<Dispatch> dispatches,
            Long2ObjectHashMap<RunningItem> running) {
        WaitingItem waiting = placed.waiting();
        WorkItem item = waiting.item();
        EndpointEntry endpoint = placed.place();
        withdraw(item.id());
        long cached = place(item)
                .filter(place -> place.endpoint().equals(endpoint.name()))
                .map(place -> Math.min(place.tokens(), item.promptTokens()))
                .orElse(0L);
        RunningItem row = RunningItem.of(item, endpoint, cached);
        long headStart = policy.order().key(item, programs.attained(item)) - item.arrivedMillis();
        int priority = (int) (headStart / QueueOrder.LEVEL_MILLIS) + (waiting.continuing() ? 0 : 1);
        queue.charge(nowMillis, item, row.chargedTokens(), true);
        queue.started(item);
        drain.add(nowMillis, row.chargedTokens());
        endpoints.started(nowMillis, endpoint);
        running.put(item.id(), row);
        dispatches.add(new Dispatch(item, endpoint.name(), priority));
    }

    void expire(long nowMillis, List<Expired> expired) {
        while (!giveUps.isEmpty() && giveUps.peek().atMillis() <= nowMillis) {
            WaitingItem waiting = giveUps.remove().waiting();
            if (waiting.removed()) {
                continue;
            }
            WorkItem item = waiting.item();
            withdraw(item.id());
            boolean passed = item.deadlineMillis() <= nowMillis;
            Refusal refusal = passed
                    ? Refusal.notRun(ResultCode.DEADLINE_PASSED, ResultCode.DEADLINE_PASSED.meaning())
                    : unreachable(AdmissionRule.bounded(0));
            expired.add(new Expired(item, refusal));
        }
    }

    void progressed(long nowMillis, RunningItem row, long outputTokens) {
        WorkItem item = row.item();
        long atLeast = WorkCost.of(item.promptTokens() - row.believedCachedTokens(), outputTokens);
        if (atLeast > row.chargedTokens()) {
            queue.charge(nowMillis, item, row.recharge(atLeast), false);
        }
    }

    void finished(long nowMillis, RunningItem row, Finish finish) {
        WorkItem item = row.item();
        queue.ended(item);
        queue.charge(nowMillis, item, row.recharge(workOf(row, finish)), false);
        EndpointEntry endpoint = row.endpoint();
        if (finish.kind() == FinishKind.OK) {
            learnCache(nowMillis, item, endpoint, finish);
        }
        endpoints.ended(nowMillis, endpoint, finish);
    }

    private static long workOf(RunningItem row, Finish finish) {
        return switch (finish.kind()) {
            case OK -> WorkCost.of(finish.promptTokens() - finish.cachedTokens(), finish.outputTokens());
            case CANCELLED ->
                WorkCost.of(row.item().promptTokens() - row.believedCachedTokens(), finish.outputTokens());
            case ENDPOINT_FAILED -> 0;
        };
    }

    private void learnCache(long nowMillis, WorkItem item, EndpointEntry endpoint, Finish finish) {
        caches.find(item.cacheKey())
                .filter(place -> place.endpoint().equals(endpoint.name()))
                .ifPresent(place ->
                        endpoint.horizon().observed(place.mark(), finish.cachedTokens() * 2 >= place.tokens()));
        long placed = finish.promptTokens() - finish.cachedTokens() + finish.outputTokens();
        endpoint.horizon().placed(placed);
        long held = finish.promptTokens() + finish.outputTokens();
        if (finish.promptTokens() > 0) {
            caches.put(
                    item.cacheKey(),
                    new CachePlaces.Place(
                            endpoint.name(), held, endpoint.horizon().placedTokens(), nowMillis));
        }
    }

    List<AccountView> accountViews(String service) {
        List<AccountView> views = new ArrayList<>();
        for (AccountQueue account : queue.accounts()) {
            views.add(new AccountView(
                    service, account.name(), account.queued(), account.running(), account.attainedTokens()));
        }
        return views;
    }
}
