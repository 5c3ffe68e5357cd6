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
 * Judges each request that arrived whole, in this order: is what this VM knows current, is there a route, whose key is
 * it, has its account a token left. Nothing is said of a route or key on knowledge that may be out of date.
 */
final class AdmissionPipeline {
    /** Time that a caller is taken to wait when it does not say. */
    private static final long DEADLINE_UNSAID_MILLIS = 10_000;

    /** A home that was lost is replaced, or found again, within about a second. */
    private static final long NO_HOLDER_MILLIS = 300;

    /** Until a request that waits for a holder asks again: the time in which an owner acquires its shares. */
    private static final long HOLDER_RETRY_MILLIS = 60;

    /** A request that arrived whole, before it is judged. */
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
        judge(new Arrival(exchange, request.get(), gateway.clock().now()));
    }

    private void judge(Arrival arrival) {
        CallerRequest request = arrival.request();
        Optional<TrafficConfiguration> known = gateway.configuration().current();
        if (known.isEmpty()) {
            if (!waits(arrival, () -> gateway.configuration().current().isPresent())) {
                refuse(arrival, elsewhere(arrival, ResultCode.NOT_READY, "no configuration yet"));
            }
            return;
        }
        TrafficConfiguration configuration = known.get();
        Optional<Route> route = configuration.routes().find(request.host(), request.path());
        boolean open = route.filter(Route::open).isPresent();
        if (!isCurrent() && configuration.keysRequired() && !open) {
            if (!waits(arrival, this::isCurrent)) {
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
        accept(arrival, configuration, route.get(), account);
    }

    private boolean isCurrent() {
        return gateway.configuration().ageMillis() < gateway.settings().keyAgeMillis();
    }

    /**
     * Lets a request wait for the end of an outage that no other VM is spared, for a part of its time; false when it has
     * waited already, or a caller is better off at another VM.
     */
    private boolean waits(Arrival arrival, BooleanSupplier ready) {
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
        judge(arrival);
    }

    private void accept(
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
        AdmittedRequest accepted = new AdmittedRequest(
                arrival.exchange(),
                request,
                route,
                service,
                account,
                configuration.version(),
                arrival.arrivedMillis(),
                deadline,
                gateway.endpoints().mayCache(gateway.clock().now(), service.name(), request.prefixParts()));
        if (gateway.crashes().quarantined(accepted)) {
            Refusal refusal =
                    Refusal.notRun(ResultCode.CRASHES_ENDPOINTS, "it was running at three endpoints that crashed");
            Outcome.refuse(gateway, accepted, refusal, Optional.empty());
            return;
        }
        if (lacksMap(accepted)) {
            // The turn could not be granted or not be kept; run, its work would be lost.
            if (!waits(arrival, () -> !gateway.map().unavailable())) {
                Refusal refusal = elsewhere(arrival, ResultCode.LOG_UNAVAILABLE, "the shared map is away");
                Outcome.refuse(gateway, accepted, refusal, Optional.empty());
            }
            return;
        }
        Optional<BudgetManager.Verdict.Exhausted> spent = spent(accepted);
        if (spent.isPresent()) {
            // Before a token of the rate is taken: a program that loops must not spend its account's rate as well.
            Outcome.refuse(gateway, accepted, StreamForwarder.exhaustedRefusal(spent.get()), Optional.empty());
            return;
        }
        if (account.isEmpty()) {
            run(accepted);
            return;
        }
        takeToken(arrival, accepted, account.get());
    }

    private void takeToken(Arrival arrival, AdmittedRequest accepted, AccountTerms account) {
        long left = accepted.deadlineMillis() - gateway.clock().now();
        long maximumWait = QuotaWaitPolicy.maximumWaitMillis(accepted.beginsProgram(), left);
        gateway.quotas().take(account, maximumWait, result -> {
            if (result instanceof TokenSearch.Result.Granted granted) {
                runAfter(granted.waitMillis(), accepted);
            } else if (result instanceof TokenSearch.Result.OverQuota overQuota) {
                overQuota(accepted, account, overQuota.shortestMillis());
            } else {
                noHolder(arrival, accepted);
            }
        });
    }

    private void runAfter(long waitMillis, AdmittedRequest accepted) {
        if (waitMillis == 0) {
            run(accepted);
            return;
        }
        gateway.executor().schedule(() -> run(accepted), waitMillis, TimeUnit.MILLISECONDS);
    }

    private boolean lacksMap(AdmittedRequest accepted) {
        if (!gateway.map().unavailable()) {
            return false;
        }
        return accepted.keepsHistory()
                || accepted.budgetedProgram()
                        .filter(program -> !gateway.budgets().covers(program, accepted.maximumTokens()))
                        .isPresent();
    }

    private Optional<BudgetManager.Verdict.Exhausted> spent(AdmittedRequest accepted) {
        return accepted.budgetedProgram().flatMap(program -> gateway.budgets()
                .knownExhausted(program, accepted.request().tokenBudget().getAsLong(), accepted.maximumTokens()));
    }

    private void run(AdmittedRequest accepted) {
        if (accepted.exchange().finished()) {
            Outcome.log(gateway, accepted, ResultCode.CANCELLED, "the caller left", Optional.empty());
            return;
        }
        if (accepted.route().kind() == RequestKind.STREAM) {
            StreamForwarder.start(gateway, accepted);
        } else {
            BufferedForwarder.start(gateway, accepted);
        }
    }

    private void noHolder(Arrival arrival, AdmittedRequest accepted) {
        long askAgain = gateway.clock().now() + HOLDER_RETRY_MILLIS;
        if (waits(arrival, () -> gateway.clock().now() >= askAgain)) {
            return;
        }
        Refusal refusal =
                Refusal.notRunRetryAfter(ResultCode.NOT_READY, "no holder of the quota answered", NO_HOLDER_MILLIS);
        Outcome.refuse(gateway, accepted, refusal, Optional.empty());
    }

    private void overQuota(AdmittedRequest accepted, AccountTerms account, long shortestMillis) {
        boolean beginning = gateway.settings().policy().has(Mechanism.PROGRAM_START_DELAY) && accepted.beginsProgram();
        long left = accepted.deadlineMillis() - gateway.clock().now();
        double chance = ThreadLocalRandom.current().nextDouble();
        long wait = QuotaWaitPolicy.retryAfterMillis(beginning, account.ratePerSecond(), left, chance);
        String detail = "rate " + account.ratePerSecond() + ", token in " + shortestMillis + " ms";
        Refusal refusal = Refusal.notRunRetryAfter(ResultCode.RATE_EXCEEDED, detail, wait);
        Outcome.refuse(gateway, accepted, refusal, Optional.empty());
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
