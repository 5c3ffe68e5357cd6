package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.EventExecutor;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.quetzalshunt.core.dispatch.Dispatcher;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.route.AccountConfiguration;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.core.routing.EndpointTable;
import org.quetzalshunt.core.routing.SlotUse;
import org.quetzalshunt.core.share.AccountShares;
import org.quetzalshunt.core.share.AccountStatus;
import org.quetzalshunt.core.share.ReportSize;
import org.quetzalshunt.core.share.ServiceStatus;
import org.quetzalshunt.wire.generated.EndpointLoads;

/**
 * Applies {@link AccountShares} to the requests of this gateway, and exchanges the use of accounts with its peers. Has
 * no effect while the mechanism is disabled.
 */
final class AccountShareControl {
    /** Interval at which shortages are looked for; a few times shorter than a turn. */
    private static final long CHECK_INTERVAL_MILLIS = 50;

    private final NodeClock clock;
    private final DecisionLog log;
    private final EndpointTable endpoints;
    private final Supplier<Optional<TrafficConfiguration>> configuration;
    private final BooleanSupplier enabled;
    private final AccountShares shares;
    private final Set<String> shortServices = new HashSet<>();
    private Optional<Dispatcher> queue = Optional.empty();
    private long refused;

    /**
     * Creates a control that is not started.
     *
     * @param enabled whether the mechanism is enabled now
     * @param seed seed of random numbers, which should differ between VMs
     */
    AccountShareControl(
            NodeClock clock,
            DecisionLog log,
            EndpointTable endpoints,
            Supplier<Optional<TrafficConfiguration>> configuration,
            BooleanSupplier enabled,
            long seed) {
        this.clock = clock;
        this.log = log;
        this.endpoints = endpoints;
        this.configuration = configuration;
        this.enabled = enabled;
        this.shares = AccountShares.create(this::quotaRate, seed);
    }

    /**
     * Sets the queue of first turns, which determines when a service is short of slots and orders first turns by their
     * accounts' shares. Without it, first turns above the share are refused here.
     */
    void setQueue(Dispatcher dispatcher) {
        queue = Optional.of(dispatcher);
        dispatcher.setShares(shares::isAboveShare);
    }

    private double quotaRate(String account) {
        return configuration
                .get()
                .map(current -> current.accounts().get(account))
                .map(AccountConfiguration::ratePerSecond)
                .orElse(0.0);
    }

    void start(EventExecutor executor, GatewayMetrics metrics) {
        executor.scheduleWithFixedDelay(
                this::checkShortages, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        metrics.registerGauge(
                "quetzalshunt.account.shares.short.services",
                "services whose accounts are limited to their shares",
                shortServices::size);
        metrics.registerGauge(
                "quetzalshunt.account.shares.above",
                "accounts above their share of a service that is short of slots",
                () -> shares.aboveShare(clock.now()));
        metrics.registerGauge(
                "quetzalshunt.account.shares.refused",
                "first turns refused since the start because their account was above its share",
                () -> refused);
        metrics.registerGauge(
                "quetzalshunt.account.shares.bounded",
                "entries of peers' reports that were limited or dropped since the start",
                shares::boundedEntries);
    }

    void checkShortages() {
        Set<String> services = enabled.getAsBoolean()
                ? configuration
                        .get()
                        .map(current -> current.services().keySet())
                        .orElse(Set.of())
                : Set.of();
        long now = clock.now();
        shares.retainServices(services);
        for (String service : services) {
            SlotUse use = endpoints.slotUse(now, service);
            boolean isShort = queue.map(each -> each.isShort(now, service)).orElseGet(() -> ShortageRule.isShort(use));
            shares.setService(now, service, use.slots(), isShort);
        }
        shortServices.stream()
                .filter(service -> !shares.isShort(now, service))
                .toList()
                .forEach(service -> logChange(service, false));
        services.stream()
                .filter(service -> !shortServices.contains(service) && shares.isShort(now, service))
                .forEach(service -> logChange(service, true));
    }

    private void logChange(String service, boolean isShort) {
        if (isShort) {
            shortServices.add(service);
        } else {
            shortServices.remove(service);
        }
        SlotUse use = endpoints.slotUse(clock.now(), service);
        log.write(log.event(isShort ? "account-shares-begin" : "account-shares-end")
                .put("service", service)
                .put("slots", use.slots())
                .put("inFlight", use.inFlight())
                .put("refusedAboveShare", refused));
    }

    /** Records that a request is sent to an endpoint. Returns whether its end must be recorded, too. */
    boolean started(AdmittedRequest admitted) {
        if (!enabled.getAsBoolean()) {
            return false;
        }
        shares.started(clock.now(), admitted.service().name(), admitted.accountName());
        return true;
    }

    /** Records the end of a request whose start was recorded. */
    void finished(AdmittedRequest admitted) {
        shares.finished(clock.now(), admitted.service().name(), admitted.accountName());
    }

    /** Refuses the first turn of a program whose account is above its share of a service that is short of slots. */
    Optional<Refusal> refusal(AdmittedRequest admitted) {
        long now = clock.now();
        String service = admitted.service().name();
        String account = admitted.accountName();
        if (queue.isPresent()
                || !enabled.getAsBoolean()
                || !admitted.beginsProgram()
                || account.isEmpty()
                || !shares.isAboveShare(now, service, account)) {
            return Optional.empty();
        }
        refused++;
        AccountStatus status = shares.account(now, service, account);
        String detail = "the account uses %.1f slots of service %s, its share is %.1f"
                .formatted(status.slots(), service, status.share());
        double random = ThreadLocalRandom.current().nextDouble();
        long left = admitted.deadlineMillis() - now;
        return Optional.of(Refusal.notRunRetryAfter(
                ResultCode.DEADLINE_UNREACHABLE, detail, shares.retryAfterMillis(now, service, account, left, random)));
    }

    /** Adds this VM's use to a message to peers while a service is short. */
    void addReport(EndpointLoads loads, double messagesPerSecond) {
        if (!enabled.getAsBoolean()) {
            return;
        }
        Map<String, Map<String, Double>> use = shares.report(clock.now(), ReportSize.accounts(messagesPerSecond));
        if (!use.isEmpty()) {
            loads.setAccountUse(use);
        }
    }

    /** Reads the use that a peer reported. */
    void onPeerLoads(String vm, EndpointLoads loads) {
        if (loads.isSetAccountUse() && enabled.getAsBoolean()) {
            shares.onPeerReport(clock.now(), vm, loads.getAccountUse());
        }
    }

    /** Adds the state of a request's account to the log line of the request while its service is short. */
    void addTo(ObjectNode line, AdmittedRequest admitted) {
        long now = clock.now();
        String service = admitted.service().name();
        if (admitted.account().isEmpty() || !shares.isShort(now, service)) {
            return;
        }
        AccountStatus status = shares.account(now, service, admitted.accountName());
        line.put("accountSlots", rounded(status.slots()));
        if (Double.isFinite(status.share())) {
            line.put("accountShare", rounded(status.share()));
        }
    }

    private static double rounded(double slots) {
        return Math.round(slots * 10) / 10.0;
    }

    /** Adds the use and the shares of all services to the state dump. */
    void addToDump(ObjectNode dump) {
        ObjectNode section = dump.putObject("accountShares")
                .put("enabled", enabled.getAsBoolean())
                .put("refused", refused)
                .put("boundedEntries", shares.boundedEntries());
        ArrayNode services = section.putArray("services");
        shares.status(clock.now()).forEach(status -> addToDump(services.addObject(), status));
    }

    private static void addToDump(ObjectNode entry, ServiceStatus status) {
        entry.put("service", status.service())
                .put("slots", status.slots())
                .put("short", status.isShort())
                .put("aboveShare", status.aboveShare())
                .put("slotsWithoutAccount", rounded(status.unnamedSlots()));
        ArrayNode accounts = entry.putArray("accounts");
        status.accounts().forEach(account -> {
            ObjectNode line =
                    accounts.addObject().put("account", account.account()).put("slots", rounded(account.slots()));
            if (Double.isFinite(account.share())) {
                line.put("share", rounded(account.share())).put("aboveShare", account.isAboveShare());
            }
        });
    }
}
