package org.quetzalshunt.server.entry;

import java.util.Optional;
import java.util.function.BiFunction;
import org.agrona.collections.Long2ObjectHashMap;
import org.quetzalshunt.core.decision.Dispatch;
import org.quetzalshunt.core.decision.EndpointState;
import org.quetzalshunt.core.decision.ExpiredRequest;
import org.quetzalshunt.core.decision.FinishedAttempt;
import org.quetzalshunt.core.decision.Scheduler;
import org.quetzalshunt.core.decision.WorkItem;
import org.quetzalshunt.core.result.Refusal;

/** Keeps the queued and running work of this entry, and dispatches it as the scheduler decides. */
final class WorkDispatcher {
    private final EntryClock clock;
    private final Scheduler scheduler;
    private final Long2ObjectHashMap<QueuedWork> workById = new Long2ObjectHashMap<>();
    private long nextId = 1;
    private boolean isDispatching;

    WorkDispatcher(EntryClock clock, Scheduler scheduler) {
        this.clock = clock;
        this.scheduler = scheduler;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    /** Assigns an id, creates the work for it and queues it; returns a refusal if it was not queued. */
    Optional<Refusal> offer(BiFunction<Long, WorkDispatcher, QueuedWork> factory, int queueLimit) {
        long id = nextId++;
        QueuedWork work = factory.apply(id, this);
        Optional<Refusal> refusal = scheduler.offer(clock.now(), work.item(), queueLimit);
        if (refusal.isEmpty()) {
            workById.put(id, work);
        }
        return refusal;
    }

    /** Removes queued work; returns false if the work is running or unknown. */
    boolean withdraw(WorkItem item) {
        if (!scheduler.withdraw(item.id())) {
            return false;
        }
        workById.remove(item.id());
        return true;
    }

    void progressed(WorkItem item, long outputTokens) {
        scheduler.recordProgress(clock.now(), item.id(), outputTokens);
    }

    void finished(WorkItem item, FinishedAttempt finish) {
        workById.remove(item.id());
        scheduler.recordFinish(clock.now(), item.id(), finish);
        tick();
    }

    void endpointReported(EndpointState state) {
        scheduler.recordReport(clock.now(), state);
        tick();
    }

    /** Refuses the work that cannot meet its deadline, and dispatches the work that may start. */
    void tick() {
        if (isDispatching) {
            return;
        }
        isDispatching = true;
        try {
            for (ExpiredRequest expired : scheduler.expire(clock.now())) {
                QueuedWork work = workById.remove(expired.item().id());
                if (work != null) {
                    work.onExpired(expired.refusal());
                }
            }
            for (Dispatch dispatch : scheduler.tick(clock.now())) {
                QueuedWork work = workById.get(dispatch.item().id());
                if (work == null) {
                    scheduler.recordFinish(clock.now(), dispatch.item().id(), FinishedAttempt.cancelled(0, 0));
                    continue;
                }
                work.onDispatched(dispatch);
            }
        } finally {
            isDispatching = false;
        }
    }
}
