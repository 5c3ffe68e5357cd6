package org.quetzalshunt.server.gateway;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.quota.OutageWaitPolicy;
import org.quetzalshunt.core.quota.QuotaWaitPolicy;
import org.quetzalshunt.core.quota.TokenSearch;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.route.AccountTerms;
import org.quetzalshunt.core.route.RequestKind;
import org.quetzalshunt.core.route.Route;
import org.quetzalshunt.core.route.ServiceEntry;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.server.http.HttpExchange;

/**
 * Checks each request that arrived whole, in this order: freshness of the configuration, route, key, quarantine, store,
 * budget, quota. No route or key is rejected by a configuration that may be out of date.
 */
final class AdmissionPipeline {
    /** Timeout assumed of a caller that states none. */
    private static final long DEADLINE_UNSAID_MILLIS = 10_000;

    /** The priority of the routes that go first. */
    private static final int MOST_URGENT = 0;

    /** A lost owner is replaced, or reconnected to, within about a second. */
    private static final long NO_HOLDER_MILLIS = 300;

    /** Until a request that waits for a holder asks again: the time in which an owner acquires its shares. */
    private static final long HOLDER_RETRY_MILLIS = 60;

    /** A request that arrived whole. */
    private record Arrival(HttpExchange exchange, CallerRequest request, long arrivedMillis) {
        /** Time that its caller had left when it arrived. */
        long leftMillis() {
            return request.deadlineMillis().orElse(DEADLINE_UNSAID_MILLIS);
        }
    }

    private final Gateway gateway;
    private final BooleanSupplier stopping;

    AdmissionPipeline(Gateway gateway, BooleanSupplier stopping) {
        this.gateway = gateway;
        this.stopping = stopping;
    }

    /** Takes a request; its answer comes now or later. */
    void handle(HttpExchange exchange) {
        gateway.clock().check();
        if (stopping.getAsBoolean() || gateway.isolatedFromStore()) {
            // A kept connection stays with this VM; the next one that its caller opens goes to a VM that is ready.
            exchange.closeAfterAnswer();
        }
        Optional<CallerRequest> request = gateway.dialect().request(exchange);
        if (request.isEmpty()) {
            refuse(exchange, "", Refusal.notRun(ResultCode.MALFORMED_REQUEST, "the request has no id"));
            return;
        }
        authenticate(new Arrival(exchange, request.get(), gateway.clock().now()));
    }

    private void authenticate(Arrival arrival) {
        CallerRequest request = arrival.request();
        Optional<TrafficConfiguration> known = gateway.configuration().current();
        if (known.isEmpty()) {
            if (!awaitRecovery(arrival, () -> gateway.configuration().current().isPresent())) {
                refuse(arrival, elsewhere(arrival, ResultCode.NOT_READY, "no configuration yet"));
            }
            return;
        }
        TrafficConfiguration configuration = known.get();
        Optional<Route> route = configuration.routes().find(request.host(), request.path());
        boolean open = route.filter(Route::open).isPresent();
        if (!isCurrent() && configuration.keysRequired() && !open) {
            if (!awaitRecovery(arrival, this::isCurrent)) {
                refuse(arrival, elsewhere(arrival, ResultCode.CONFIGURATION_STALE, "the configuration is too old"));
            }
            return;
        }
        if (route.isEmpty()) {
            refuse(arrival, Refusal.notRun(ResultCode.UNKNOWN_PATH, "no route"));
            return;
        }
        Optional<AccountTerms> account = request.key().flatMap(configuration::accountOf);
        if (configuration.keysRequired() && !open && account.isEmpty()) {
            ResultCode code = request.key().isEmpty() ? ResultCode.MISSING_KEY : ResultCode.UNKNOWN_KEY;
            refuse(arrival, Refusal.notRun(code, "version " + configuration.version()));
            return;
        }
        if (arrival.exchange().body().length > configuration.limits().maximumBodyBytes()) {
            refuse(arrival, Refusal.notRun(ResultCode.BODY_TOO_LARGE, "see the limits"));
            return;
        }
        admit(arrival, configuration, route.get(), account);
    }

    private boolean isCurrent() {
        return gateway.configuration().ageMillis() < gateway.settings().keyAgeMillis();
    }

    /**
     * Queues a request until an outage that affects all VMs ends, for a part of its time; false when it has waited already,
     * or a retry at another VM is more likely to succeed.
     */
    private boolean awaitRecovery(Arrival arrival, BooleanSupplier ready) {
        long until = arrival.arrivedMillis() + OutageWaitPolicy.maximumWaitMillis(arrival.leftMillis());
        boolean useful = gateway.settings().policy().has(Mechanism.OUTAGE_WAIT)
                && !stopping.getAsBoolean()
                && !gateway.isolatedFromStore()
                && gateway.clock().now() < until;
        if (!useful) {
            return false;
        }
        boolean mayBegin = arrival.request().previousTurn().isEmpty();
        BooleanSupplier over = () -> ready.getAsBoolean() || gateway.isolatedFromStore();
        return gateway.recovery().offer(new RecoveryQueue.Waiting(mayBegin, until, over, () -> resume(arrival)));
    }

    private void resume(Arrival arrival) {
        if (arrival.exchange().finished()) {
            refuse(arrival, Refusal.notRun(ResultCode.CANCELLED, "the caller left"));
            return;
        }
        authenticate(arrival);
    }

    private void admit(
            Arrival arrival, TrafficConfiguration configuration, Route route, Optional<AccountTerms> account) {
        CallerRequest request = arrival.request();
        ServiceEntry service = configuration
                .services()
                .get(route.serviceFor(request.program().orElse(request.id()).hashCode()));
        if (service == null) {
            refuse(arrival, elsewhere(arrival, ResultCode.NO_ENDPOINT, "the service is not configured"));
            return;
        }
        long deadline = arrival.arrivedMillis() + Math.min(route.timeoutMillis(), arrival.leftMillis());
        AdmittedRequest admitted = new AdmittedRequest(
                arrival.exchange(),
                request,
                route,
                service,
                account,
                configuration.version(),
                arrival.arrivedMillis(),
                deadline,
                new RequestTimeline(gateway.clock(), arrival.arrivedMillis()),
                gateway.endpoints().mayCache(gateway.clock().now(), service.name(), request.prefixParts()));
        if (gateway.crashes().quarantined(admitted)) {
            Refusal refusal =
                    Refusal.notRun(ResultCode.CRASHES_ENDPOINTS, "it was running at three endpoints that crashed");
            Outcome.refuse(gateway, admitted, refusal, Optional.empty());
            return;
        }
        if (lacksMap(admitted)) {
            // The turn could not be granted or not be kept; run, its work would be lost.
            if (!awaitRecovery(arrival, () -> !gateway.map().unavailable())) {
                Refusal refusal = elsewhere(arrival, ResultCode.LOG_UNAVAILABLE, "the store is unavailable");
                Outcome.refuse(gateway, admitted, refusal, Optional.empty());
            }
            return;
        }
        Optional<BudgetManager.Verdict.Exhausted> spent = spent(admitted);
        if (spent.isPresent()) {
            // Before a token of the rate is taken: a program that loops must not spend its account's rate as well.
            Outcome.refuse(gateway, admitted, StreamForwarder.exhaustedRefusal(spent.get()), Optional.empty());
            return;
        }
        if (account.isEmpty()) {
            run(admitted);
            return;
        }
        takeToken(arrival, admitted, account.get());
    }

    private void takeToken(Arrival arrival, AdmittedRequest admitted, AccountTerms account) {
        long left = admitted.deadlineMillis() - gateway.clock().now();
        boolean urgent = gateway.settings().policy().has(Mechanism.URGENT_STARTS)
                && admitted.route().priority() == MOST_URGENT;
        boolean startsNow = gateway.settings().policy().has(Mechanism.STARTS_WITHOUT_WAIT) && admitted.beginsProgram();
        long maximumWait = startsNow
                ? QuotaWaitPolicy.START_WAIT_MILLIS
                : QuotaWaitPolicy.maximumWaitMillis(admitted.beginsProgram(), urgent, left);
        gateway.quotas().take(account, maximumWait, result -> {
            if (result instanceof TokenSearch.Result.Granted granted) {
                runAfter(granted.waitMillis(), admitted);
            } else if (result instanceof TokenSearch.Result.OverQuota overQuota) {
                overQuota(admitted, account, overQuota.shortestMillis());
            } else {
                noHolder(arrival, admitted);
            }
        });
    }

    private void runAfter(long waitMillis, AdmittedRequest admitted) {
        if (waitMillis == 0) {
            run(admitted);
            return;
        }
        gateway.executor().schedule(() -> run(admitted), waitMillis, TimeUnit.MILLISECONDS);
    }

    private boolean lacksMap(AdmittedRequest admitted) {
        if (!gateway.map().unavailable()) {
            return false;
        }
        return admitted.keepsHistory()
                || admitted.budgetedProgram()
                        .filter(program ->
                                !gateway.budgets().covers(program, admitted.maximumTokens(), admitted.keepMillis()))
                        .isPresent();
    }

    private Optional<BudgetManager.Verdict.Exhausted> spent(AdmittedRequest admitted) {
        return admitted.budgetedProgram().flatMap(program -> gateway.budgets()
                .knownExhausted(program, admitted.request().tokenBudget().getAsLong(), admitted.maximumTokens()));
    }

    private void run(AdmittedRequest admitted) {
        admitted.timeline().reached(RequestTimeline.Step.TOKEN);
        if (admitted.exchange().finished()) {
            Outcome.log(gateway, admitted, ResultCode.CANCELLED, "the caller left", Optional.empty());
            return;
        }
        if (admitted.route().kind() == RequestKind.STREAM) {
            StreamForwarder.start(gateway, admitted);
        } else {
            BufferedForwarder.start(gateway, admitted);
        }
    }

    private void noHolder(Arrival arrival, AdmittedRequest admitted) {
        long askAgain = gateway.clock().now() + HOLDER_RETRY_MILLIS;
        if (awaitRecovery(arrival, () -> gateway.clock().now() >= askAgain)) {
            return;
        }
        Refusal refusal =
                Refusal.notRunRetryAfter(ResultCode.NOT_READY, "no holder of the quota answered", NO_HOLDER_MILLIS);
        Outcome.refuse(gateway, admitted, refusal, Optional.empty());
    }

    private void overQuota(AdmittedRequest admitted, AccountTerms account, long shortestMillis) {
        boolean beginning = gateway.settings().policy().has(Mechanism.PROGRAM_START_DELAY) && admitted.beginsProgram();
        long left = admitted.deadlineMillis() - gateway.clock().now();
        double chance = ThreadLocalRandom.current().nextDouble();
        long wait = QuotaWaitPolicy.retryAfterMillis(beginning, account.ratePerSecond(), left, chance);
        String detail = "rate " + account.ratePerSecond() + ", token in " + shortestMillis + " ms";
        Refusal refusal = Refusal.notRunRetryAfter(ResultCode.RATE_EXCEEDED, detail, wait);
        Outcome.refuse(gateway, admitted, refusal, Optional.empty());
    }

    private Refusal elsewhere(Arrival arrival, ResultCode code, String detail) {
        long waited = gateway.clock().now() - arrival.arrivedMillis();
        return Refusal.notRunRetryAfter(code, detail, gateway.retryAfterMillis(arrival.leftMillis() - waited));
    }

    private void refuse(Arrival arrival, Refusal refusal) {
        refuse(arrival.exchange(), arrival.request().id(), refusal);
    }

    private void refuse(HttpExchange exchange, String requestId, Refusal refusal) {
        Outcome.refuse(gateway, exchange, requestId, refusal);
    }
}
