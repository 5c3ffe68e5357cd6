package org.quetzalshunt.server.entry;

import java.util.Optional;
import java.util.function.BiFunction;
import org.agrona.collections.Long2ObjectHashMap;
import org.quetzalshunt.core.decision.Dispatch;
import org.quetzalshunt.core.decision.EndpointState;
import org.quetzalshunt.core.decision.Expired;
import org.quetzalshunt.core.decision.Finish;
import org.quetzalshunt.core.decision.Scheduler;
import org.quetzalshunt.core.decision.WorkItem;
import org.quetzalshunt.core.result.Refusal;

/** The work that waits or runs here, and the scheduler that decides over it. */
final class WorkBoard {
    private final EntryClock clock;
    private final Scheduler scheduler;
    private final Long2ObjectHashMap<Work> works = new Long2ObjectHashMap<>();
    private long nextId = 1;
    private boolean ticking;

    WorkBoard(EntryClock clock, Scheduler scheduler) {
        this.clock = clock;
        this.scheduler = scheduler;
    }

    Scheduler scheduler() {
        return scheduler;
    }

    /** Queues work made for a fresh id; the refusal says that it was not taken. */
    Optional<Refusal> offer(BiFunction<Long, WorkBoard, Work> make, int queueLimit) {
        long id = nextId++;
        Work work = make.apply(id, this);
        Optional<Refusal> refusal = scheduler.offer(clock.now(), work.item(), queueLimit);
        if (refusal.isEmpty()) {
            works.put(id, work);
        }
        return refusal;
    }

    /** Takes waiting work back; false when it runs or is not known. */
    boolean withdraw(WorkItem item) {
        if (!scheduler.withdraw(item.id())) {
            return false;
        }
        works.remove(item.id());
        return true;
    }

    void progressed(WorkItem item, long outputTokens) {
        scheduler.progressed(clock.now(), item.id(), outputTokens);
    }

    void finished(WorkItem item, Finish finish) {
        works.remove(item.id());
        scheduler.finished(clock.now(), item.id(), finish);
        tick();
    }

    void endpointReported(EndpointState state) {
        scheduler.endpointReported(clock.now(), state);
        tick();
    }

    /** Dispatches what may start and refuses what cannot meet its deadline. */
    void tick() {
        if (ticking) {
            return;
        }
        ticking = true;
        try {
            for (Expired expired : scheduler.expire(clock.now())) {
                Work work = works.remove(expired.item().id());
                if (work != null) {
                    work.expired(expired.refusal());
                }
            }
            for (Dispatch dispatch : scheduler.tick(clock.now())) {
                Work work = works.get(dispatch.item().id());
                if (work == null) {
                    scheduler.finished(clock.now(), dispatch.item().id(), Finish.cancelled(0, 0));
                    continue;
                }
                work.dispatched(dispatch);
            }
        } finally {
            ticking = false;
        }
    }
}
