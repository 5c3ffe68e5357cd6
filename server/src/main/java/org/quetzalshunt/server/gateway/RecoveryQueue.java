package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Queue of requests that wait for a temporarily missing dependency: the store, a confirmation that the configuration
 * is current, or a link to a holder of a quota share. A request is resumed when its dependency is available or when
 * its wait time is over. Of the requests that are resumed together, those that continue a program come first.
 */
final class RecoveryQueue {
    /**
     * A queued request.
     *
     * @param mayBeginProgram whether it may be the first turn of a program
     * @param untilMillis when its wait time is over
     * @param ready whether its dependency is available
     * @param resume continues the request, also when its wait time is over
     */
    record WaitingRequest(boolean mayBeginProgram, long untilMillis, BooleanSupplier ready, Runnable resume) {}

    /** Interval of the checks; well below what a caller notices. */
    private static final long CHECK_MILLIS = 20;

    /**
     * Maximum number of queued requests. Each keeps a connection and a request body, a few MB in all; more requests
     * are refused at once.
     */
    private static final int MAXIMUM_WAITING = 400;

    private final EventExecutor executor;
    private final NodeClock clock;
    private final List<WaitingRequest> waiting = new ArrayList<>();
    private boolean checkScheduled;

    RecoveryQueue(EventExecutor executor, NodeClock clock) {
        this.executor = executor;
        this.clock = clock;
    }

    /** Queues a request; returns false if the queue is full. */
    boolean offer(WaitingRequest request) {
        if (waiting.size() >= MAXIMUM_WAITING) {
            return false;
        }
        waiting.add(request);
        scheduleCheck();
        return true;
    }

    /**
     * Schedules the next check unless one is scheduled already: a resumed request may be queued again during a check,
     * which must not start a second series of checks.
     */
    private void scheduleCheck() {
        if (checkScheduled || waiting.isEmpty()) {
            return;
        }
        checkScheduled = true;
        executor.schedule(this::resumeDue, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void resumeDue() {
        checkScheduled = false;
        long now = clock.now();
        List<WaitingRequest> due = new ArrayList<>();
        waiting.removeIf(request -> {
            boolean isDue = request.ready().getAsBoolean() || now >= request.untilMillis();
            if (isDue) {
                due.add(request);
            }
            return isDue;
        });
        due.sort(Comparator.comparing(WaitingRequest::mayBeginProgram));
        due.forEach(request -> request.resume().run());
        scheduleCheck();
    }
}
