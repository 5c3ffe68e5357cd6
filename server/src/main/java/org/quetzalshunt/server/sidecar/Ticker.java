package org.quetzalshunt.server.sidecar;

import io.netty.channel.EventLoop;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * Runs an action again and again, often while there is work and rarely while there is none, since an idle process may
 * use 1.4% of a core and each wake-up costs a part of it.
 */
final class Ticker {
    /** Bounds how late a stall, a lapse or a report is; well below each of them. */
    private static final long BUSY_MILLIS = 50;

    /** As often as an idle engine's state can matter: a lease lapses, a report is due. */
    private static final long IDLE_MILLIS = 500;

    private final EventLoop loop;
    private final Runnable action;
    private final BooleanSupplier busy;
    private ScheduledFuture<?> next;
    private boolean nextIsSoon;

    private Ticker(EventLoop loop, Runnable action, BooleanSupplier busy) {
        this.loop = loop;
        this.action = action;
        this.busy = busy;
    }

    static Ticker create(EventLoop loop, Runnable action, BooleanSupplier busy) {
        return new Ticker(loop, action, busy);
    }

    /** Work came: the next run is soon. Also starts the first one. Call on the event loop. */
    void wake() {
        if (nextIsSoon) {
            return;
        }
        if (next != null) {
            next.cancel(false);
        }
        schedule(true);
    }

    private void schedule(boolean soon) {
        nextIsSoon = soon;
        next = loop.schedule(this::run, soon ? BUSY_MILLIS : IDLE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** An exception must not end the ticks, or deadlines and leases would silently stop. */
    private void run() {
        try {
            action.run();
        } catch (RuntimeException problem) {
            Logger.error(problem, "a tick failed");
        }
        schedule(busy.getAsBoolean());
    }
}
