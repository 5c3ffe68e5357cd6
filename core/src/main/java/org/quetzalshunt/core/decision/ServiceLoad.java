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
import org.quetzalshunt.core.decision.endpoint.PlacementRequest;
import org.quetzalshunt.core.decision.endpoint.ServiceEndpoints;
import org.quetzalshunt.core.decision.endpoint.TrackedEndpoint;
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

/** Scheduling state of one service: its queue, its endpoints, its retry budget and the rules that apply to them. */
final class ServiceLoad {
    /**
     * Queueing time after which a new program may use the capacity reserved for programs in progress. During a long
     * saturation, later turns would otherwise exclude new programs permanently. Five seconds are several answers long,
     * so that a burst of later turns still goes first, and a twelfth of the usual deadline.
     */
    static final long AGED_PROGRAM_WAIT_MILLIS = 5_000;

    private static final Comparator<Expiry> BY_EXPIRY_TIME = Comparator.comparingLong(Expiry::atMillis);

    private record Expiry(WaitingItem waiting, long atMillis) {}

    private final Policy policy;
    private final FairQueue queue;
    private final ServiceEndpoints endpoints;
    private final EndpointChoice choice;
    private final ProgramTable programs = ProgramTable.create();
    private final PrefixLocationTable prefixLocations;
    private final DrainRate drain = DrainRate.create();
    private final RetryBudget retries = RetryBudget.create();
    private final Long2ObjectHashMap<WaitingItem> waitingById = new Long2ObjectHashMap<>();
    private final PriorityQueue<Expiry> expiries = new PriorityQueue<>(BY_EXPIRY_TIME);

    private ServiceLoad(SchedulerSettings settings, PrefixLocationTable prefixLocations, SplittableRandom random) {
        this.policy = settings.policy();
        this.queue = FairQueue.create(policy.order(), policy.charge(), programs);
        this.endpoints = ServiceEndpoints.create(policy.rules(), settings.entries(), random);
        this.choice = policy.choice().apply(settings.dataCentre());
        this.prefixLocations = prefixLocations;
    }

    static ServiceLoad create(
            SchedulerSettings settings, PrefixLocationTable prefixLocations, SplittableRandom random) {
        return new ServiceLoad(settings, prefixLocations, random);
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
        boolean programInProgress = policy.begun().test(item.turn() + programs.attainedTokens(item));
        Forecast forecast = forecast(nowMillis, item, account, programInProgress);
        if (account.queued() >= queueLimit) {
            return Optional.of(Refusal.notRunRetryAfter(
                    ResultCode.QUEUE_FULL,
                    "the client account has " + queueLimit + " waiting",
                    AdmissionRule.boundedRetryMillis(forecast.waitMillis() / 2)));
        }
        OptionalLong retryAfter = policy.admission().retryAfterMillis(forecast);
        if (retryAfter.isPresent()) {
            return Optional.of(deadlineUnreachable(retryAfter.getAsLong()));
        }
        long work = WorkCost.expected(item, expectedCachedTokens(item));
        WaitingItem waiting = queue.add(item, work, programInProgress);
        waitingById.put(item.id(), waiting);
        expiries.add(new Expiry(waiting, item.deadlineMillis() - Math.round(forecast.runMillis())));
        if (item.previousAttempts() == 0) {
            retries.recordRequest();
        }
        return Optional.empty();
    }

    private static Refusal deadlineUnreachable(long retryAfterMillis) {
        return Refusal.notRunRetryAfter(
                ResultCode.DEADLINE_UNREACHABLE, ResultCode.DEADLINE_UNREACHABLE.meaning(), retryAfterMillis);
    }

    private Forecast forecast(long nowMillis, WorkItem item, AccountQueue account, boolean programInProgress) {
        double workRate = Math.max(drain.workPerMillis(nowMillis), endpoints.workPerMillis());
        double accountShare = accountShare(account, item);
        long workAhead = account.workAhead(programInProgress);
        double waitMillis = workAhead == 0 || workRate <= 0 ? 0 : workAhead / (workRate * accountShare);
        long timeToDeadlineMillis = item.deadlineMillis() - nowMillis;
        double prefillSeconds = (item.promptTokens() - expectedCachedTokens(item))
                / endpoints.speed().prefillPerSecond();
        double decodeSeconds = item.expectedOutputTokens() / endpoints.speed().decodePerSecond();
        // The length of the answer is an estimate, so the run time counts for at most half of the time to the deadline.
        double runMillis = Math.max(0, Math.min(1_000 * (prefillSeconds + decodeSeconds), timeToDeadlineMillis / 2.0));
        return new Forecast(waitMillis, runMillis, timeToDeadlineMillis);
    }

    private double accountShare(AccountQueue account, WorkItem item) {
        double all = 0;
        for (AccountQueue other : queue.accounts()) {
            if (other.queued() > 0 && other != account) {
                all += other.weight();
            }
        }
        double own = Math.max(1e-3, item.weight());
        return own / (all + own);
    }

    private long expectedCachedTokens(WorkItem item) {
        return location(item).map(PrefixLocationTable.Location::tokens).orElse(0L);
    }

    private Optional<PrefixLocationTable.Location> location(WorkItem item) {
        return prefixLocations.find(item.cacheKey()).flatMap(location -> endpoints
                .find(location.endpoint())
                .map(endpoint -> endpoint.horizon().isLikelyCached(location.placedTokens())
                        ? location
                        : location.withProbableEviction()));
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
            Optional<FairQueue.Placed<TrackedEndpoint>> next =
                    queue.next(waiting -> chooseEndpoint(nowMillis, waiting));
            if (next.isEmpty()) {
                return;
            }
            start(nowMillis, next.get(), dispatches, running);
        }
    }

    private Optional<TrackedEndpoint> chooseEndpoint(long nowMillis, WaitingItem waiting) {
        WorkItem item = waiting.item();
        Optional<PrefixLocationTable.Location> location = location(item);
        PlacementRequest request = new PlacementRequest(
                nowMillis,
                item,
                urgency(nowMillis, waiting),
                location.flatMap(found -> endpoints.find(found.endpoint())),
                location.map(PrefixLocationTable.Location::tokens).orElse(0L));
        return choice.choose(request, endpoints);
    }

    private Urgency urgency(long nowMillis, WaitingItem waiting) {
        if (queue.isUnderserved(waiting.item().clientAccount())) {
            return Urgency.UNDERSERVED;
        }
        if (waiting.isProgramInProgress()) {
            return Urgency.LATER_TURN;
        }
        boolean aged = nowMillis - waiting.item().arrivedMillis() >= AGED_PROGRAM_WAIT_MILLIS;
        return aged ? Urgency.AGED_PROGRAM : Urgency.NEW_PROGRAM;
    }

    private void start(
            long nowMillis,
            FairQueue.Placed<TrackedEndpoint> placed,
            List<Dispatch> dispatches,
            Long2ObjectHashMap<RunningItem> running) {
        WaitingItem waiting = placed.waiting();
        WorkItem item = waiting.item();
        TrackedEndpoint endpoint = placed.target();
        withdraw(item.id());
        long cached = location(item)
                .filter(location -> location.endpoint().equals(endpoint.name()))
                .map(location -> Math.min(location.tokens(), item.promptTokens()))
                .orElse(0L);
        RunningItem row = RunningItem.of(item, endpoint, cached);
        long headStart = policy.order().key(item, programs.attainedTokens(item)) - item.arrivedMillis();
        int priority = (int) (headStart / QueueOrder.LEVEL_MILLIS) + (waiting.isProgramInProgress() ? 0 : 1);
        queue.charge(nowMillis, item, row.chargedTokens(), true);
        queue.recordStart(item);
        drain.add(nowMillis, row.chargedTokens());
        endpoints.recordStart(nowMillis, endpoint);
        running.put(item.id(), row);
        dispatches.add(new Dispatch(item, endpoint.name(), priority));
    }

    void expire(long nowMillis, List<ExpiredRequest> expired) {
        while (!expiries.isEmpty() && expiries.peek().atMillis() <= nowMillis) {
            WaitingItem waiting = expiries.remove().waiting();
            if (waiting.isRemoved()) {
                continue;
            }
            WorkItem item = waiting.item();
            withdraw(item.id());
            boolean passed = item.deadlineMillis() <= nowMillis;
            Refusal refusal = passed
                    ? Refusal.notRun(ResultCode.DEADLINE_PASSED, ResultCode.DEADLINE_PASSED.meaning())
                    : deadlineUnreachable(AdmissionRule.boundedRetryMillis(0));
            expired.add(new ExpiredRequest(item, refusal));
        }
    }

    void progressed(long nowMillis, RunningItem row, long outputTokens) {
        WorkItem item = row.item();
        long atLeast = WorkCost.of(item.promptTokens() - row.expectedCachedTokens(), outputTokens);
        if (atLeast > row.chargedTokens()) {
            queue.charge(nowMillis, item, row.adjustCharge(atLeast), false);
        }
    }

    void finished(long nowMillis, RunningItem row, FinishedAttempt finish) {
        WorkItem item = row.item();
        queue.recordEnd(item);
        queue.charge(nowMillis, item, row.adjustCharge(workOf(row, finish)), false);
        TrackedEndpoint endpoint = row.endpoint();
        if (finish.kind() == FinishKind.OK) {
            recordPrefix(nowMillis, item, endpoint, finish);
        }
        endpoints.recordEnd(nowMillis, endpoint, finish);
    }

    private static long workOf(RunningItem row, FinishedAttempt finish) {
        return switch (finish.kind()) {
            case OK -> WorkCost.of(finish.promptTokens() - finish.cachedTokens(), finish.outputTokens());
            case CANCELLED ->
                WorkCost.of(row.item().promptTokens() - row.expectedCachedTokens(), finish.outputTokens());
            case ENDPOINT_FAILED -> 0;
        };
    }

    private void recordPrefix(long nowMillis, WorkItem item, TrackedEndpoint endpoint, FinishedAttempt finish) {
        prefixLocations
                .find(item.cacheKey())
                .filter(location -> location.endpoint().equals(endpoint.name()))
                .ifPresent(location -> endpoint.horizon()
                        .recordLookup(location.placedTokens(), finish.cachedTokens() * 2 >= location.tokens()));
        long addedTokens = finish.promptTokens() - finish.cachedTokens() + finish.outputTokens();
        endpoint.horizon().recordPlaced(addedTokens);
        long prefixTokens = finish.promptTokens() + finish.outputTokens();
        if (finish.promptTokens() > 0) {
            prefixLocations.put(
                    item.cacheKey(),
                    new PrefixLocationTable.Location(
                            endpoint.name(), prefixTokens, endpoint.horizon().placedTokens(), nowMillis));
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
