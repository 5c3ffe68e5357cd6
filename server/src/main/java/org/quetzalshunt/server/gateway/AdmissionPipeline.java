package org.quetzalshunt.server.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.quota.OutageWaitPolicy;
import org.quetzalshunt.core.quota.TokenSearch;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.route.AccountConfiguration;
import org.quetzalshunt.core.route.RequestKind;
import org.quetzalshunt.core.route.Route;
import org.quetzalshunt.core.route.ServiceConfiguration;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.http.PendingExchange;

/**
 * Decides whether a fully received request may run. The checks run in this order: age of the configuration, route, API
 * key, size of the body, end of a planned stop, quarantine, availability of the store, token budget, free memory, free
 * slot, account share, rate quota. Where API keys are required, a configuration that may be out of date never causes a
 * rejection for an unknown route or key.
 */
final class AdmissionPipeline {
    /** Caller timeout assumed when the request states none. */
    private static final long DEFAULT_CALLER_TIMEOUT_MILLIS = 10_000;

    /**
     * Retry-After when no holder of the quota answered: a lost owner is replaced or reconnected within about a second.
     */
    private static final long NO_HOLDER_RETRY_AFTER_MILLIS = 300;

    /**
     * Interval at which a queued request asks the quota holders again; a new owner acquires its shares in about this
     * time.
     */
    private static final long HOLDER_RETRY_INTERVAL_MILLIS = 60;

    /** A fully received request that is not admitted yet. */
    private record ReceivedRequest(HttpExchange exchange, CallerRequest request, long arrivedMillis) {
        /** The caller's timeout, counted from the arrival of the request. */
        long callerTimeoutMillis() {
            return request.deadlineMillis().orElse(DEFAULT_CALLER_TIMEOUT_MILLIS);
        }
    }

    private final Gateway gateway;

    AdmissionPipeline(Gateway gateway) {
        this.gateway = gateway;
    }

    /** Processes a request; the response is sent during this call or later. */
    void handle(HttpExchange exchange) {
        gateway.clock().detectJump();
        Optional<CallerRequest> request = gateway.dialect().decodeRequest(exchange);
        if (request.isEmpty()) {
            refuse(exchange, "", Refusal.notRun(ResultCode.MALFORMED_REQUEST, "the request has no id"));
            return;
        }
        ReceivedRequest received =
                new ReceivedRequest(exchange, request.get(), gateway.clock().now());
        exchange.setPending(
                new PendingExchange(request.get().id(), () -> "waiting", () -> refuse(received, StopReport.refusal())));
        authenticate(received);
    }

    private void authenticate(ReceivedRequest received) {
        CallerRequest request = received.request();
        Optional<TrafficConfiguration> current = gateway.configuration().current();
        if (current.isEmpty()) {
            if (!awaitRecovery(received, () -> gateway.configuration().current().isPresent())) {
                refuse(received, refusalWithRetry(received, ResultCode.NOT_READY, "no configuration yet"));
            }
            return;
        }
        TrafficConfiguration configuration = current.get();
        Optional<Route> route = configuration.routes().find(request.host(), request.path());
        boolean keyless = route.filter(Route::keyless).isPresent();
        if (!AdmissionChecks.isCurrent(gateway) && configuration.keysRequired() && !keyless) {
            if (!awaitRecovery(received, () -> AdmissionChecks.isCurrent(gateway))) {
                refuse(
                        received,
                        refusalWithRetry(received, ResultCode.CONFIGURATION_STALE, "the configuration is too old"));
            }
            return;
        }
        if (route.isEmpty()) {
            refuse(received, Refusal.notRun(ResultCode.UNKNOWN_PATH, "no route"));
            return;
        }
        Optional<AccountConfiguration> account = request.key().flatMap(configuration::accountOf);
        if (configuration.keysRequired() && !keyless && account.isEmpty()) {
            ResultCode code = request.key().isEmpty() ? ResultCode.MISSING_KEY : ResultCode.UNKNOWN_KEY;
            refuse(received, Refusal.notRun(code, "checked against configuration version " + configuration.version()));
            return;
        }
        if (received.exchange().body().length > configuration.limits().maximumBodyBytes()) {
            refuse(
                    received,
                    Refusal.notRun(ResultCode.BODY_TOO_LARGE, "the body is larger than the configured limits allow"));
            return;
        }
        admit(received, configuration, route.get(), account);
    }

    /**
     * Queues a request until an outage that affects all VMs ends, for part of the caller's timeout. Returns false when
     * that time is used up, or when a retry at another VM is more likely to succeed.
     */
    private boolean awaitRecovery(ReceivedRequest received, BooleanSupplier ready) {
        long until = received.arrivedMillis() + OutageWaitPolicy.maximumWaitMillis(received.callerTimeoutMillis());
        boolean worthWaiting = gateway.settings().policy().isEnabled(Mechanism.OUTAGE_WAIT)
                && !gateway.stop().hasBegun()
                && !gateway.isolatedFromStore()
                && gateway.clock().now() < until;
        if (!worthWaiting) {
            return false;
        }
        boolean mayBeginProgram = received.request().previousTurn().isEmpty();
        BooleanSupplier recovered = () -> ready.getAsBoolean() || gateway.isolatedFromStore();
        return gateway.recovery()
                .offer(new RecoveryQueue.WaitingRequest(mayBeginProgram, until, recovered, () -> resume(received)));
    }

    private void resume(ReceivedRequest received) {
        if (received.exchange().started()) {
            return;
        }
        if (received.exchange().finished()) {
            refuse(received, Refusal.notRun(ResultCode.CANCELLED, "the caller disconnected"));
            return;
        }
        authenticate(received);
    }

    private void admit(
            ReceivedRequest received,
            TrafficConfiguration configuration,
            Route route,
            Optional<AccountConfiguration> account) {
        CallerRequest request = received.request();
        ServiceConfiguration service = configuration
                .services()
                .get(route.serviceFor(request.program().orElse(request.id()).hashCode()));
        if (service == null) {
            refuse(received, refusalWithRetry(received, ResultCode.NO_ENDPOINT, "the service is not configured"));
            return;
        }
        long deadline = received.arrivedMillis() + Math.min(route.timeoutMillis(), received.callerTimeoutMillis());
        AdmittedRequest admitted = new AdmittedRequest(
                received.exchange(),
                request,
                route,
                service,
                account,
                configuration.version(),
                received.arrivedMillis(),
                deadline,
                new RequestTimeline(gateway.clock(), received.arrivedMillis()),
                gateway.endpoints().mayHavePrefixCached(gateway.clock().now(), service.name(), request.prefixParts()));
        if (!gateway.stop().admits(gateway.clock().now(), deadline)) {
            ResultReporter.refuse(gateway, admitted, StopReport.refusal(), Optional.empty());
            return;
        }
        CrashReporter.Admission afterCrashes = gateway.crashes().admit(admitted);
        if (afterCrashes == CrashReporter.Admission.AWAIT_TRIAL
                && awaitRecovery(received, () -> !gateway.crashes().isTrialPending(admitted))) {
            return;
        }
        if (afterCrashes != CrashReporter.Admission.RUN) {
            Refusal refusal =
                    Refusal.notRun(ResultCode.CRASHES_ENDPOINTS, "it was running at three endpoints that crashed");
            ResultReporter.refuse(gateway, admitted, refusal, Optional.empty());
            return;
        }
        if (AdmissionChecks.needsUnavailableStore(gateway, admitted)) {
            // Without the store, the turn could not get a token grant or be stored after its run, so its work would be
            // lost.
            if (!awaitRecovery(received, () -> !gateway.store().isUnavailable())) {
                Refusal refusal = refusalWithRetry(received, ResultCode.LOG_UNAVAILABLE, "the store is unavailable");
                ResultReporter.refuse(gateway, admitted, refusal, Optional.empty());
            }
            return;
        }
        Optional<BudgetManager.Verdict.Exhausted> exhausted = AdmissionChecks.exhaustedBudget(gateway, admitted);
        if (exhausted.isPresent()) {
            // Checked before a rate token is taken: a program that loops on its exhausted budget must not use up the
            // rate of its account.
            ResultReporter.refuse(
                    gateway, admitted, StreamForwarder.exhaustedRefusal(exhausted.get()), Optional.empty());
            return;
        }
        Optional<Refusal> memoryShort =
                gateway.memory().refusal(admitted, gateway.clock().now());
        if (memoryShort.isPresent()) {
            ResultReporter.refuse(gateway, admitted, memoryShort.get(), Optional.empty());
            return;
        }
        // A slot first: no token is taken for a request that has no slot.
        long offeredMillis = gateway.clock().now();
        gateway.starts().await(gateway, admitted, () -> runWithSlot(received, admitted, offeredMillis));
    }

    /** Repeats the checks if the request waited for its slot: its key may have been withdrawn meanwhile. */
    private void runWithSlot(ReceivedRequest received, AdmittedRequest admitted, long offeredMillis) {
        if (gateway.clock().now() > offeredMillis && AdmissionChecks.isOutdated(gateway, admitted)) {
            gateway.starts().onNotSent(gateway, admitted);
            resume(received);
            return;
        }
        runWithToken(received, admitted);
    }

    private void runWithToken(ReceivedRequest received, AdmittedRequest admitted) {
        if (admitted.account().isEmpty()) {
            run(admitted);
            return;
        }
        Optional<Refusal> aboveShare = gateway.shares().refusal(admitted);
        if (aboveShare.isPresent()) {
            gateway.starts().onNotSent(gateway, admitted);
            ResultReporter.refuse(gateway, admitted, aboveShare.get(), Optional.empty());
            return;
        }
        takeRateToken(received, admitted, admitted.account().get());
    }

    private void takeRateToken(ReceivedRequest received, AdmittedRequest admitted, AccountConfiguration account) {
        TokenTerms terms = RateAdmission.terms(gateway, admitted);
        gateway.quotas().takeToken(account, terms, result -> {
            if (result instanceof TokenSearch.Result.Granted granted) {
                runAfter(granted.waitMillis(), admitted);
                return;
            }
            gateway.starts().onNotSent(gateway, admitted);
            if (result instanceof TokenSearch.Result.OverQuota overQuota) {
                Refusal refusal = RateAdmission.refusal(gateway, admitted, account, terms.request(), overQuota);
                ResultReporter.refuse(gateway, admitted, refusal, Optional.empty());
            } else {
                refuseNoHolder(received, admitted);
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

    private void run(AdmittedRequest admitted) {
        admitted.timeline().markReached(RequestTimeline.Step.TOKEN);
        if (admitted.exchange().finished()) {
            gateway.starts().onNotSent(gateway, admitted);
            if (!admitted.exchange().started()) {
                ResultReporter.logDisconnected(gateway, admitted, Optional.empty());
            }
            return;
        }
        if (admitted.route().kind() == RequestKind.STREAM) {
            StreamForwarder.start(gateway, admitted);
        } else {
            BufferedForwarder.start(gateway, admitted);
        }
    }

    private void refuseNoHolder(ReceivedRequest received, AdmittedRequest admitted) {
        long retryAtMillis = gateway.clock().now() + HOLDER_RETRY_INTERVAL_MILLIS;
        if (awaitRecovery(received, () -> gateway.clock().now() >= retryAtMillis)) {
            return;
        }
        Refusal refusal = Refusal.notRunRetryAfter(
                ResultCode.NOT_READY, "no VM that holds a share of the quota answered", NO_HOLDER_RETRY_AFTER_MILLIS);
        ResultReporter.refuse(gateway, admitted, refusal, Optional.empty());
    }

    private Refusal refusalWithRetry(ReceivedRequest received, ResultCode code, String detail) {
        long waited = gateway.clock().now() - received.arrivedMillis();
        return Refusal.notRunRetryAfter(
                code, detail, gateway.retryAfterMillis(received.callerTimeoutMillis() - waited));
    }

    private void refuse(ReceivedRequest received, Refusal refusal) {
        refuse(received.exchange(), received.request().id(), refusal);
    }

    private void refuse(HttpExchange exchange, String requestId, Refusal refusal) {
        ResultReporter.refuse(gateway, exchange, requestId, refusal);
    }
}
