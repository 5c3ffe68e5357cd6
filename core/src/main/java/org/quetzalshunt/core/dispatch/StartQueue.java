package org.quetzalshunt.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.routing.ServiceUse;

/**
 * The first turns that wait at this VM for a slot of one service.
 *
 * <p>Load pattern: for some seconds more programs start than the engines can run. Sent at once, they would make each
 * other and the programs in progress late. The queue sends as many as fit, in the order of {@link WaitingStart#order}.
 * A first turn waits only if its slot is expected in time; the others are refused when they arrive, with a time at
 * which there will be room.
 */
final class StartQueue {
    /** Callers abandon a stream without an event after 2 s, and a turn at a busy engine may need one second. */
    private static final long MAXIMUM_WAIT_MILLIS = 600;

    /** Part of the time until its deadline that a first turn may wait. */
    private static final double MAXIMUM_WAIT_PART = 0.3;

    /** Part of its route's latency objective after which a first turn is no longer refused. */
    private static final double REFUSABLE_PART = 0.25;

    /**
     * Factor by which the expected wait must fit. A wait can become longer than expected, since more urgent first turns
     * arrive later, while the request can no longer be refused.
     */
    private static final double WAIT_MARGIN = 1.6;

    /** Each waiting request keeps a connection and a body. */
    private static final int MAXIMUM_WAITING = 400;

    /** Rate assumed when no credit is earned, in first turns per millisecond. */
    private static final double MINIMUM_PER_MILLI = 0.000_2;

    /** Part of the credits that less urgent first turns can count on, however many more urgent ones arrive. */
    private static final double MINIMUM_RATE_PART = 0.1;

    private final ProgramForecasts forecasts;
    private final FreeSlots slots;
    private final ReturnTimes returns;
    private final RecentStarts recent = new RecentStarts();
    private final List<WaitingStart> waiting = new ArrayList<>();
    private long peersWaiting;

    StartQueue(ProgramForecasts forecasts, SplittableRandom random) {
        this.forecasts = forecasts;
        this.slots = new FreeSlots(random);
        this.returns = new ReturnTimes(random);
    }

    FreeSlots slots() {
        return slots;
    }

    int size() {
        return waiting.size();
    }

    void update(long nowMillis, String service, ServiceUse use, int liveVms, long waitingAtPeers) {
        peersWaiting = waitingAtPeers;
        slots.update(nowMillis, use, liveVms, forecasts.service(service), waiting.size(), peersWaiting);
    }

    /** Decides about a new first turn. */
    StartDecision offer(long nowMillis, ProgramStart start, ShareView shares) {
        WaitingStart entry = entry(start);
        entry.evaluate(nowMillis, shares);
        recent.add(nowMillis, start.urgency());
        int ahead = ahead(nowMillis, entry, shares);
        boolean peersFirst = entry.aboveShare && slots.isShort() && peersWaiting > 0;
        if (slots.slots() == 0 || (ahead == 0 && !peersFirst && take(nowMillis, entry))) {
            return new StartDecision.Send();
        }
        double waitMillis = waitMillis(nowMillis, entry, ahead);
        if (nowMillis + WAIT_MARGIN * waitMillis > entry.latestMillis) {
            return refuse(nowMillis, entry, ResultCode.DEADLINE_UNREACHABLE, waitMillis);
        }
        if (waiting.size() >= MAXIMUM_WAITING) {
            return refuse(nowMillis, entry, ResultCode.QUEUE_FULL, waitMillis);
        }
        waiting.add(entry);
        return new StartDecision.Wait();
    }

    private WaitingStart entry(ProgramStart start) {
        long left = Math.max(0, start.deadlineMillis() - start.arrivedMillis());
        long maximumWait = Math.min(MAXIMUM_WAIT_MILLIS, (long) (MAXIMUM_WAIT_PART * left));
        return new WaitingStart(
                start,
                forecasts.dueMillis(start),
                forecasts.neededMillis(start),
                forecasts.isReturned(start),
                start.arrivedMillis() + (long) (REFUSABLE_PART * start.targetLatencyMillis()),
                start.arrivedMillis() + maximumWait);
    }

    private int ahead(long nowMillis, WaitingStart entry, ShareView shares) {
        Comparator<WaitingStart> order = WaitingStart.order();
        int ahead = 0;
        for (WaitingStart other : waiting) {
            other.evaluate(nowMillis, shares);
            ahead += order.compare(other, entry) < 0 ? 1 : 0;
        }
        return ahead;
    }

    /** Takes a credit. A first turn that is more urgent than others that came lately may take one in advance. */
    private boolean take(long nowMillis, WaitingStart entry) {
        boolean mayBorrow = !entry.aboveShare && !entry.late && recent.hasLessUrgent(nowMillis, entry.start.urgency());
        return mayBorrow ? slots.borrow(nowMillis) : slots.take(nowMillis);
    }

    /** Expected wait of a first turn behind a number of others. */
    private double waitMillis(long nowMillis, WaitingStart entry, int ahead) {
        return Math.max(0, ahead + 1 - slots.credits()) / perMilli(nowMillis, entry);
    }

    /** First turns per millisecond that this VM sends, without the more urgent ones that are expected. */
    private double perMilli(long nowMillis, WaitingStart entry) {
        double all = slots.meanCreditsPerMilli();
        double rest = all - recent.moreUrgentPerMilli(nowMillis, entry.start.urgency());
        return Math.max(MINIMUM_PER_MILLI, Math.max(MINIMUM_RATE_PART * all, rest));
    }

    private StartDecision refuse(long nowMillis, WaitingStart entry, ResultCode code, double waitMillis) {
        ProgramStart start = entry.start;
        long retry = returns.retryAfterMillis(
                nowMillis, waitMillis, perMilli(nowMillis, entry), start.deadlineMillis() - nowMillis);
        String detail = waiting.size() + " of this VM wait for a slot, expected wait " + Math.round(waitMillis) + " ms";
        return new StartDecision.Refuse(code, detail, retry);
    }

    /** Removes and returns the first turns that are to be sent or refused now. */
    List<QueueExit> takeDue(long nowMillis, ShareView shares) {
        if (waiting.isEmpty()) {
            return List.of();
        }
        waiting.forEach(each -> each.evaluate(nowMillis, shares));
        waiting.sort(WaitingStart.order());
        List<QueueExit> due = new ArrayList<>();
        int ahead = 0;
        for (Iterator<WaitingStart> each = waiting.iterator(); each.hasNext(); ) {
            WaitingStart entry = each.next();
            StartDecision decision = decide(nowMillis, entry, ahead);
            if (decision instanceof StartDecision.Wait) {
                ahead++;
                continue;
            }
            each.remove();
            due.add(new QueueExit(entry.start, decision));
        }
        return due;
    }

    private StartDecision decide(long nowMillis, WaitingStart entry, int ahead) {
        if (slots.slots() == 0 || (ahead == 0 && take(nowMillis, entry))) {
            return new StartDecision.Send();
        }
        if (nowMillis >= entry.latestMillis) {
            slots.force(nowMillis);
            return new StartDecision.Send();
        }
        double waitMillis = waitMillis(nowMillis, entry, ahead);
        boolean tooLate = nowMillis + waitMillis > entry.latestMillis;
        if (tooLate && nowMillis < entry.refusableUntilMillis) {
            return refuse(nowMillis, entry, ResultCode.DEADLINE_UNREACHABLE, waitMillis);
        }
        return new StartDecision.Wait();
    }

    /** Removes a first turn whose caller left; false if it does not wait. */
    boolean withdraw(long id) {
        return waiting.removeIf(each -> each.start.id() == id);
    }

    /** Removes and returns all first turns. */
    List<ProgramStart> clear() {
        List<ProgramStart> all = waiting.stream().map(each -> each.start).toList();
        waiting.clear();
        return all;
    }

    ServiceStatus status(long nowMillis, String service) {
        Map<Integer, Integer> count = new HashMap<>();
        Map<Integer, Long> oldest = new HashMap<>();
        for (WaitingStart each : waiting) {
            count.merge(each.start.urgency(), 1, Integer::sum);
            oldest.merge(each.start.urgency(), nowMillis - each.start.arrivedMillis(), Math::max);
        }
        return new ServiceStatus(service, slots.slots(), slots.free(), slots.isShort(), count, oldest, peersWaiting);
    }
}
