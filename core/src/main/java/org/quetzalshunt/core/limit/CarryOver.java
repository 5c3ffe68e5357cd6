package org.quetzalshunt.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.quetzalshunt.core.limit.LimitMessage.CarryReport;
import org.quetzalshunt.core.limit.LimitMessage.Holding;
import org.quetzalshunt.core.vm.VmId;

/**
 * The step from one generation to the next: survivors keep their parts and report them to the homes, and each home
 * grants what nobody reported.
 *
 * <p>Guards against a part that is held by a dead VM and granted anew, which would show as a window over its bound. The
 * home waits until every survivor has reported, so that it knows the sum of what is held, and then until whoever was left
 * out must have stopped, see {@link Lease}.
 */
final class CarryOver {
    /** A report that was not acknowledged is sent again after this time. */
    private static final long REPEAT_MILLIS = 100;

    /** Steps whose parts are still to be granted; of more, the oldest are folded into the newer ones. */
    private static final int MOST_RECLAIMS = 8;

    private final VmId self;
    private final LimitSettings settings;
    private final Map<VmId, CarryReport> unacknowledged = new HashMap<>();
    private final List<Reclaim> reclaims = new ArrayList<>();
    private long sentMillis;
    private long nextDueMillis = Long.MAX_VALUE;

    CarryOver(VmId self, LimitSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    /**
     * Starts the step.
     *
     * @param carries whether this VM was a member before and still is
     * @param holdings what it carries over; it may be nothing
     */
    void start(
            long nowMillis,
            Generation next,
            boolean carries,
            List<Holding> holdings,
            BiConsumer<VmId, LimitMessage> sender) {
        unacknowledged.clear();
        keepReclaims(next, carries);
        if (next.homes.contains(self)) {
            long wait = waitMillis(next.record, settings);
            reclaims.add(new Reclaim(self, nowMillis, next, holdings, wait));
        }
        nextDueMillis = nowMillis;
        if (next.carriers().contains(self)) {
            prepareReports(next, holdings);
            send(nowMillis, sender);
        }
    }

    private void keepReclaims(Generation next, boolean carries) {
        reclaims.removeIf(reclaim -> !carries || !reclaim.isComplete());
        if (reclaims.size() == MOST_RECLAIMS) {
            reclaims.remove(0);
        }
        reclaims.forEach(reclaim -> reclaim.outlives(next));
    }

    private void prepareReports(Generation next, List<Holding> holdings) {
        for (VmId home : next.homes) {
            if (home.equals(self)) {
                continue;
            }
            List<Holding> ofHome = new ArrayList<>(holdings);
            ofHome.removeIf(holding -> !next.home(holding.key()).orElseThrow().equals(home));
            unacknowledged.put(home, new CarryReport(next.offset, ofHome));
        }
    }

    private void send(long nowMillis, BiConsumer<VmId, LimitMessage> sender) {
        sentMillis = nowMillis;
        unacknowledged.forEach(sender);
    }

    /** Takes in a survivor's report about the generation in force. */
    void onReport(long nowMillis, VmId from, CarryReport report) {
        if (reclaims.isEmpty()) {
            return;
        }
        reclaims.get(reclaims.size() - 1).onReport(nowMillis, from, report.holdings());
        nextDueMillis = nowMillis;
    }

    void onAcknowledgement(VmId from) {
        unacknowledged.remove(from);
    }

    void tick(long nowMillis, BiConsumer<VmId, LimitMessage> sender) {
        if (!unacknowledged.isEmpty() && nowMillis - sentMillis >= REPEAT_MILLIS) {
            send(nowMillis, sender);
        }
    }

    /** Whether parts of some accounts may have come free since the last call. */
    boolean anyDue(long nowMillis) {
        if (nowMillis < nextDueMillis) {
            return false;
        }
        nextDueMillis = reclaims.stream()
                .mapToLong(Reclaim::dueMillis)
                .filter(due -> due > nowMillis)
                .min()
                .orElse(Long.MAX_VALUE);
        return true;
    }

    /** Claims, for this home, the parts of an account that nobody holds. */
    long claimUnheld(long nowMillis, AccountKey key) {
        long unheld = reclaims.stream()
                .mapToLong(reclaim -> reclaim.unheld(nowMillis, key))
                .max()
                .orElse(0);
        if (unheld > 0) {
            reclaims.forEach(reclaim -> reclaim.granted(key, unheld));
        }
        return unheld;
    }

    /** Since when this home could have granted all that nobody holds; now, if it may not yet. */
    long grantedMillis(long nowMillis) {
        return reclaims.isEmpty()
                ? nowMillis
                : Math.min(nowMillis, reclaims.get(reclaims.size() - 1).dueMillis());
    }

    /** Time that a generation's reclaimed parts stay unused. Before the first generation nobody can have held any. */
    static long waitMillis(LimitGenerationRecord record, LimitSettings settings) {
        if (record.first()) {
            return 0;
        }
        return settings.stoppedAfterMillis() + (record.longWait() ? settings.listLagMillis() : 0);
    }
}
