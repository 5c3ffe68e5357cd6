package org.quetzalshunt.server.http;

import io.netty.util.concurrent.EventExecutor;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.quetzalshunt.core.memory.MemoryBudget;
import org.quetzalshunt.core.memory.MemoryHolder;

/**
 * Memory that a server holds for its callers. Memory is always accounted; callers are disconnected, and data is held
 * back, only while the limits are enabled. Used on the event loop only.
 */
public final class CallerMemory {
    /** Receives the callers that were disconnected. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called when a caller is disconnected.
         *
         * @param cause what the caller did
         * @param heldBytes bytes held for it
         */
        void onDisconnected(DisconnectCause cause, long heldBytes);
    }

    private static final long CHECK_INTERVAL_MILLIS = 100;

    /** A check that is later than this shows that the process was paused, and not that callers stopped reading. */
    private static final long MAXIMUM_DELAY_MILLIS = 300;

    private final Optional<MemoryBudget> budget;
    private final BooleanSupplier enabled;
    private final BooleanSupplier admitsConnection;
    private final Listener listener;
    private final Set<ConnectionMemory> unread = new LinkedHashSet<>();
    private boolean checkScheduled;
    private long checkDueMillis;
    private boolean reliefScheduled;

    private CallerMemory(
            Optional<MemoryBudget> budget,
            BooleanSupplier enabled,
            BooleanSupplier admitsConnection,
            Listener listener) {
        this.budget = budget;
        this.enabled = enabled;
        this.admitsConnection = admitsConnection;
        this.listener = listener;
    }

    /**
     * Creates memory without limits, in which connections share nothing, so that the server may use several event
     * loops.
     */
    public static CallerMemory unlimited() {
        return new CallerMemory(Optional.empty(), () -> false, () -> true, (cause, heldBytes) -> {});
    }

    /**
     * Creates memory within a budget.
     *
     * @param executor event loop of the server
     * @param enabled whether the limits are enabled now
     * @param admitsConnection whether another connection may be served
     */
    public static CallerMemory within(
            MemoryBudget budget,
            EventExecutor executor,
            BooleanSupplier enabled,
            BooleanSupplier admitsConnection,
            Listener listener) {
        CallerMemory memory = new CallerMemory(Optional.of(budget), enabled, admitsConnection, listener);
        budget.onExhausted(cause -> memory.relieve(cause, executor));
        return memory;
    }

    MemoryHolder open(Runnable disconnect) {
        return budget.orElseGet(MemoryBudget::unlimited).open(disconnect);
    }

    boolean isEnabled() {
        return enabled.getAsBoolean();
    }

    boolean admitsConnection() {
        return admitsConnection.getAsBoolean();
    }

    void onDisconnected(DisconnectCause cause, long heldBytes) {
        listener.onDisconnected(cause, heldBytes);
    }

    /** Disconnects the callers with the most memory if the budget is exhausted. */
    void relieve() {
        relieve(Optional.empty());
    }

    private void relieve(Optional<MemoryHolder> spared) {
        budget.filter(MemoryBudget::isExhausted)
                .filter(exhausted -> isEnabled())
                .ifPresent(exhausted -> exhausted.relieve(spared));
    }

    /**
     * Relieves the budget at once, since many connections may be read before the next task of the event loop, but
     * disconnects the caller whose request is being processed only in such a task.
     */
    private void relieve(Optional<MemoryHolder> processed, EventExecutor executor) {
        relieve(processed);
        if (reliefScheduled || !budget.filter(MemoryBudget::isExhausted).isPresent()) {
            return;
        }
        reliefScheduled = true;
        executor.execute(() -> {
            reliefScheduled = false;
            relieve();
        });
    }

    /** Observes a connection until its caller has read everything. */
    void watch(ConnectionMemory connection, EventExecutor executor) {
        if (budget.isPresent()) {
            unread.add(connection);
            scheduleCheck(executor);
        }
    }

    void unwatch(ConnectionMemory connection) {
        if (budget.isPresent()) {
            unread.remove(connection);
        }
    }

    private void scheduleCheck(EventExecutor executor) {
        if (checkScheduled || unread.isEmpty()) {
            return;
        }
        checkScheduled = true;
        checkDueMillis = nowMillis() + CHECK_INTERVAL_MILLIS;
        executor.schedule(() -> check(executor), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check(EventExecutor executor) {
        checkScheduled = false;
        long now = nowMillis();
        boolean limited = isEnabled();
        long pauseMillis = now - checkDueMillis;
        for (ConnectionMemory connection : List.copyOf(unread)) {
            if (pauseMillis > MAXIMUM_DELAY_MILLIS) {
                connection.skip(pauseMillis);
            }
            connection.checkProgress(now, limited);
        }
        scheduleCheck(executor);
    }

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
