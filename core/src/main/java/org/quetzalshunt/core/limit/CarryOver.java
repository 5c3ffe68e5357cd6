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
 * Carries parts over from one generation to the next: the survivors, which are members of both, keep their parts and
 * report them to the accounts' homes, and each home grants the parts that no survivor reported.
 *
 * <p>Guards against a part that is granted while a dead VM still holds it, which would admit more than rate and burst
 * in some window. The home first waits until every survivor has reported, so that it knows the sum of the parts held,
 * and then until every excluded VM must have stopped (see {@link Lease}).
 */
final class CarryOver {
    /** A report that was not acknowledged is sent again after this time. */
    private static final long RETRANSMIT_MILLIS = 100;

    /**
     * Maximum number of generation changes whose unheld parts are still to be granted. Beyond this number, the oldest
     * is dropped, and a newer one grants its parts after that one's own wait.
     */
    private static final int MAXIMUM_RECLAIMS = 8;

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
     * Starts the change to a new generation.
     *
     * @param carriesOver whether this VM was a member before and still is
     * @param holdings the parts that it carries over, possibly none
     */
    void start(
            long nowMillis,
            Generation next,
            boolean carriesOver,
            List<Holding> holdings,
            BiConsumer<VmId, LimitMessage> sender) {
        unacknowledged.clear();
        retainReclaims(next, carriesOver);
        if (next.homes.contains(self)) {
            long wait = waitMillis(next.record, settings);
            reclaims.add(new Reclaim(self, nowMillis, next, holdings, wait));
        }
        nextDueMillis = nowMillis;
        if (next.survivors().contains(self)) {
            prepareReports(next, holdings);
            send(nowMillis, sender);
        }
    }

    private void retainReclaims(Generation next, boolean carriesOver) {
        reclaims.removeIf(reclaim -> !carriesOver || !reclaim.isComplete());
        if (reclaims.size() == MAXIMUM_RECLAIMS) {
            reclaims.remove(0);
        }
        reclaims.forEach(reclaim -> reclaim.addGeneration(next));
    }

    private void prepareReports(Generation next, List<Holding> holdings) {
        for (VmId home : next.homes) {
            if (home.equals(self)) {
                continue;
            }
            List<Holding> holdingsOfHome = new ArrayList<>(holdings);
            holdingsOfHome.removeIf(
                    holding -> !next.home(holding.key()).orElseThrow().equals(home));
            unacknowledged.put(home, new CarryReport(next.offset, holdingsOfHome));
        }
    }

    private void send(long nowMillis, BiConsumer<VmId, LimitMessage> sender) {
        sentMillis = nowMillis;
        unacknowledged.forEach(sender);
    }

    /** Handles a survivor's report about the current generation. */
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
        if (!unacknowledged.isEmpty() && nowMillis - sentMillis >= RETRANSMIT_MILLIS) {
            send(nowMillis, sender);
        }
    }

    /** Whether parts of some accounts may have become available since the last call. */
    boolean pollDue(long nowMillis) {
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

    /** Claims for this home the parts of an account that no entry holds. */
    long claimUnheldParts(long nowMillis, AccountKey key) {
        long unheldParts = reclaims.stream()
                .mapToLong(reclaim -> reclaim.unheldParts(nowMillis, key))
                .max()
                .orElse(0);
        if (unheldParts > 0) {
            reclaims.forEach(reclaim -> reclaim.recordGrant(key, unheldParts));
        }
        return unheldParts;
    }

    /** Time since which this home may grant all unheld parts, or the current time if it may not grant them yet. */
    long grantableSinceMillis(long nowMillis) {
        return reclaims.isEmpty()
                ? nowMillis
                : Math.min(nowMillis, reclaims.get(reclaims.size() - 1).dueMillis());
    }

    /**
     * Time for which the reclaimed parts of a generation stay unused; 0 for the first, before which no VM held any.
     */
    static long waitMillis(LimitGenerationRecord record, LimitSettings settings) {
        if (record.isFirst()) {
            return 0;
        }
        return settings.expiryWaitMillis() + (record.longWait() ? settings.listLagMillis() : 0);
    }
}
