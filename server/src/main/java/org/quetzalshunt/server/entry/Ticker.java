package org.quetzalshunt.server.entry;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * Runs the ticks of a process: often while there is work, seldom while there is none. An idle entry that ticked every
 * 20 ms spent 3.2% of a core, more than the whole budget for control.
 */
final class Ticker {
    private static final long BUSY_MILLIS = 20;
    private static final long IDLE_MILLIS = 200;

    private final EventExecutor executor;
    private final Runnable tick;
    private final BooleanSupplier busy;
    private ScheduledFuture<?> next;
    private boolean fast;

    Ticker(EventExecutor executor, Runnable tick, BooleanSupplier busy) {
        this.executor = executor;
        this.tick = tick;
        this.busy = busy;
    }

    /** Runs the first tick and schedules the others. */
    void start() {
        run();
    }

    /** Work came: the next tick is a busy one's. */
    void wake() {
        if (fast || next == null) {
            return;
        }
        next.cancel(false);
        schedule(true);
    }

    private void run() {
        try {
            tick.run();
        } catch (RuntimeException problem) {
            // An exception must not end the ticks, or leases and deadlines would stop without a word.
            Logger.error(problem, "a tick failed");
        }
        schedule(busy.getAsBoolean());
    }

    private void schedule(boolean busyNow) {
        fast = busyNow;
        next = executor.schedule(this::run, busyNow ? BUSY_MILLIS : IDLE_MILLIS, TimeUnit.MILLISECONDS);
    }
}
