package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.EventExecutor;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.quetzalshunt.core.memory.BudgetSize;
import org.quetzalshunt.core.memory.DescriptorLimit;
import org.quetzalshunt.core.memory.MemoryBudget;
import org.quetzalshunt.core.memory.MemoryLevel;
import org.quetzalshunt.core.memory.MemoryUse;
import org.quetzalshunt.core.memory.ReturnTimes;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.CallerMemory;
import org.quetzalshunt.server.http.DisconnectCause;
import org.quetzalshunt.server.http.HttpClient;

/**
 * Memory and sockets of a gateway: refuses requests and connections while they are short, and reports their use to
 * operators.
 */
final class GatewayMemory {
    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final MemoryBudget budget;
    private final DescriptorLimit descriptors;
    private final CallerMemory callers;
    private final GatewayMetrics metrics;
    private final DecisionLog log;
    private final HttpClient http;
    private final BooleanSupplier enabled;
    private final ReturnTimes returns = new ReturnTimes();
    private MemoryLevel reportedLevel = MemoryLevel.NORMAL;
    private boolean refusingCallers;
    private long refusedCallers;

    /**
     * Creates the memory of a gateway.
     *
     * @param enabled whether the limits are enabled now
     */
    GatewayMemory(
            GatewaySettings settings,
            EventExecutor executor,
            GatewayMetrics metrics,
            DecisionLog log,
            HttpClient http,
            BooleanSupplier enabled) {
        BudgetSize size = JvmMemory.budgetSize(settings.capacity().memoryBytes());
        this.budget = MemoryBudget.of(size.bytes());
        this.descriptors = DescriptorLimit.of(settings.capacity().descriptors());
        this.callers = CallerMemory.within(budget, executor, enabled, this::admitsCaller, this::onDisconnected);
        this.metrics = metrics;
        this.log = log;
        this.http = http;
        this.enabled = enabled;
        registerMetrics();
        log.write(log.event("memory-budget")
                .put("vmBytes", size.vmBytes().orElse(0))
                .put("heapBytes", size.heapBytes())
                .put("directBytes", size.directBytes())
                .put("otherBytes", size.otherBytes())
                .put("budgetBytes", size.bytes()));
    }

    private void registerMetrics() {
        metrics.registerGauge("quetzalshunt.memory.budget.bytes", "memory that may be held for callers", budget::bytes);
        metrics.registerGauge("quetzalshunt.memory.peak.bytes", "largest use since the start", budget::peak);
        for (MemoryUse use : MemoryUse.values()) {
            metrics.registerGauge(
                    "quetzalshunt.memory.held.bytes", "memory in use", "use", use.label(), () -> budget.held(use));
        }
        metrics.registerGauge("quetzalshunt.sockets", "sockets of callers and endpoints in use", this::sockets);
    }

    /**
     * Starts to observe the use.
     *
     * @param peerBytes bytes that peers have not read
     */
    void start(EventExecutor executor, LongSupplier peerBytes) {
        executor.scheduleWithFixedDelay(
                () -> {
                    budget.measure(MemoryUse.PEERS, peerBytes.getAsLong());
                    reportLevel();
                },
                CHECK_INTERVAL_MILLIS,
                CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Limits for the server of the callers. */
    CallerMemory callers() {
        return callers;
    }

    /** The refusal of a request for which too little memory is free; empty if it may run. */
    Optional<Refusal> refusal(AdmittedRequest admitted, long nowMillis) {
        if (!enabled.getAsBoolean() || !budget.level().refuses(admitted.beginsProgram())) {
            return Optional.empty();
        }
        return Optional.of(Refusal.notRunRetryAfter(
                ResultCode.MEMORY_SHORT,
                budget.held() + " of " + budget.bytes() + " bytes in use",
                returns.next(nowMillis, admitted.deadlineMillis() - nowMillis)));
    }

    private boolean admitsCaller() {
        if (!enabled.getAsBoolean()) {
            return true;
        }
        long excess = descriptors.excess(sockets() - 1);
        boolean admitted = excess <= http.closeIdle(excess);
        if (!admitted) {
            refusedCallers++;
            metrics.count("quetzalshunt.callers.refused", "cause", "sockets");
        }
        if (admitted == refusingCallers) {
            refusingCallers = !admitted;
            log.write(log.event("sockets")
                    .put("short", refusingCallers)
                    .put("callers", budget.holders())
                    .put("endpoints", http.openConnections()));
        }
        return admitted;
    }

    private int sockets() {
        return budget.holders() + http.openConnections();
    }

    private void onDisconnected(DisconnectCause cause, long heldBytes) {
        metrics.count("quetzalshunt.callers.disconnected", "cause", cause.label());
        log.write(log.event("caller-disconnected")
                .put("code", ResultCode.CALLER_TOO_SLOW.number())
                .put("cause", cause.label())
                .put("heldBytes", heldBytes)
                .put("usedBytes", budget.held())
                .put("budgetBytes", budget.bytes()));
    }

    private void reportLevel() {
        MemoryLevel level = budget.level();
        if (level == reportedLevel || !enabled.getAsBoolean()) {
            return;
        }
        ObjectNode line = log.event("memory-level").put("before", reportedLevel.name());
        reportedLevel = level;
        log.write(addTo(line));
    }

    /** Adds the present use to a log line or to the state dump. */
    ObjectNode addTo(ObjectNode target) {
        target.put("enabled", enabled.getAsBoolean())
                .put("level", budget.level().name())
                .put("budgetBytes", budget.bytes())
                .put("heldBytes", budget.held())
                .put("peakBytes", budget.peak())
                .put("sockets", sockets())
                .put("callersRefused", refusedCallers);
        for (MemoryUse use : MemoryUse.values()) {
            target.put(use.label() + "Bytes", budget.held(use));
        }
        return target;
    }
}
