package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Requests that wait for something this VM lacks at the moment: the shared map, a proof that its configuration is
 * current, a link to a holder of a rate. Each goes on as soon as that is there, those of programs under way first, and is
 * refused when its wait is over.
 */
final class RecoveryQueue {
    /**
     * A request that waits.
     *
     * @param mayBegin whether it may begin a program
     * @param untilMillis when its wait is over
     * @param ready whether what it waits for is there
     * @param resume goes on with it, also when the wait is over
     */
    record Waiting(boolean mayBegin, long untilMillis, BooleanSupplier ready, Runnable resume) {}

    /** Well below what a caller notices. */
    private static final long CHECK_MILLIS = 20;

    /** Each holds a connection and its body: a few MB in all. More are refused at once. */
    private static final int MOST_WAITING = 400;

    private final EventExecutor executor;
    private final NodeClock clock;
    private final List<Waiting> waiting = new ArrayList<>();
    private boolean checking;

    RecoveryQueue(EventExecutor executor, NodeClock clock) {
        this.executor = executor;
        this.clock = clock;
    }

    /** Takes a request in, unless there is no room. */
    boolean offer(Waiting request) {
        if (waiting.size() >= MOST_WAITING) {
            return false;
        }
        waiting.add(request);
        checkLater();
        return true;
    }

    /** One check at a time: a request that goes on may be offered again, and would start a second series of checks. */
    private void checkLater() {
        if (checking || waiting.isEmpty()) {
            return;
        }
        checking = true;
        executor.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        checking = false;
        long now = clock.now();
        List<Waiting> due = new ArrayList<>();
        waiting.removeIf(each -> {
            boolean ends = each.ready().getAsBoolean() || now >= each.untilMillis();
            if (ends) {
                due.add(each);
            }
            return ends;
        });
        due.sort(Comparator.comparing(Waiting::mayBegin));
        due.forEach(each -> each.resume().run());
        checkLater();
    }
}
