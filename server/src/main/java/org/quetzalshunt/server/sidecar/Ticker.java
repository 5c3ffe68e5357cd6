package org.quetzalshunt.server.sidecar;

import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * Runs an action periodically: often while there is work, rarely while idle, because an idle process may use at most
 * 1.4% of a core and each wake-up adds to it.
 */
final class Ticker {
    /**
     * Upper bound on the delay in noticing a stall, an expired lease or a due report; well below each of those times.
     */
    private static final long BUSY_MILLIS = 50;

    /** Short enough for the leases and the reports of an idle engine. */
    private static final long IDLE_MILLIS = 500;

    private final EventLoop loop;
    private final Runnable action;
    private final BooleanSupplier busy;
    private ScheduledFuture<?> next;
    private boolean isNextSoon;

    private Ticker(EventLoop loop, Runnable action, BooleanSupplier busy) {
        this.loop = loop;
        this.action = action;
        this.busy = busy;
    }

    static Ticker create(EventLoop loop, Runnable action, BooleanSupplier busy) {
        return new Ticker(loop, action, busy);
    }

    /** Schedules the next run soon, because work arrived; also schedules the first one. Call on the event loop. */
    void wake() {
        if (isNextSoon) {
            return;
        }
        if (next != null) {
            next.cancel(false);
        }
        schedule(true);
    }

    private void schedule(boolean soon) {
        isNextSoon = soon;
        next = loop.schedule(this::run, soon ? BUSY_MILLIS : IDLE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Catches exceptions: an uncaught one would end the schedule, and with it every deadline and lease. */
    private void run() {
        try {
            action.run();
        } catch (RuntimeException problem) {
            Logger.error(problem, "periodic sidecar task failed");
        }
        schedule(busy.getAsBoolean());
    }
}
