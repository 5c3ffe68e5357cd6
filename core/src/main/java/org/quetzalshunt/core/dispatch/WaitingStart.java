package org.quetzalshunt.core.dispatch;

import java.util.Comparator;

/** A first turn in the queue of its service. */
final class WaitingStart {
    /** Slack is compared in steps of this size, so that small differences do not overrule the time of arrival. */
    private static final double SLACK_STEP_MILLIS = 250;

    /**
     * A program with less time left than this part of the forecast is late. A forecast that is too long must not put a
     * whole kind behind all others.
     */
    private static final double CERTAIN_PART = 0.6;

    final ProgramStart start;
    /** Time until its program must start to meet its objective, counted from its arrival. */
    final double slackMillis;

    /** Time from which its program certainly misses its objective. */
    private final double lateFromMillis;

    final boolean returned;
    /** Time until which it may be refused; after that it is sent in any case. */
    final long refusableUntilMillis;
    /** When it is sent at the latest. */
    final long latestMillis;

    boolean aboveShare;
    boolean late;

    WaitingStart(
            ProgramStart start,
            double dueMillis,
            double neededMillis,
            boolean returned,
            long refusableUntilMillis,
            long latestMillis) {
        this.start = start;
        this.slackMillis = dueMillis - neededMillis - start.arrivedMillis();
        this.lateFromMillis = dueMillis - CERTAIN_PART * neededMillis;
        this.returned = returned;
        this.refusableUntilMillis = refusableUntilMillis;
        this.latestMillis = latestMillis;
    }

    /** Evaluates the parts of its rank that change with time. */
    void evaluate(long nowMillis, ShareView shares) {
        aboveShare = shares.isAboveShare(nowMillis, start.service(), start.account());
        late = nowMillis > lateFromMillis;
    }

    private long slackStep() {
        return (long) Math.floor(slackMillis / SLACK_STEP_MILLIS);
    }

    /**
     * The order of dispatch. Programs of accounts above their share come last, before these the programs that can no
     * longer meet their objective; then by urgency, slack, whether they return after a refusal, and arrival.
     */
    static Comparator<WaitingStart> order() {
        return Comparator.<WaitingStart, Boolean>comparing(each -> each.aboveShare)
                .thenComparing(each -> each.late)
                .thenComparingInt(each -> each.start.urgency())
                .thenComparingLong(WaitingStart::slackStep)
                .thenComparing(each -> !each.returned)
                .thenComparingLong(each -> each.start.arrivedMillis())
                .thenComparingLong(each -> each.start.id());
    }
}
