package org.quetzalshunt.core.limit;

import static org.quetzalshunt.core.limit.LimitMessage.ALL_PARTS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quetzalshunt.core.limit.LimitMessage.Holding;
import org.quetzalshunt.core.vm.VmId;

/**
 * The parts that a home may grant because of one change of generation: those that no member carried over, once all
 * excluded members have stopped.
 *
 * <p>It remains valid in later generations as long as the same VM is the account's home. Parts that no member
 * carried into one generation are not held in the next either, unless this home granted them. Otherwise, a fleet whose
 * VMs die one after the other would restart the wait each time and never grant the parts.
 */
final class Reclaim {
    private final VmId self;
    private final long waitMillis;
    private final List<Generation> generations = new ArrayList<>();
    private final Set<VmId> awaitedReports = new HashSet<>();
    private final Map<AccountKey, Long> heldParts = new HashMap<>();
    private long completeMillis;

    /** Waits for the reports of all survivors except this VM, whose own holdings are counted at once. */
    Reclaim(VmId self, long nowMillis, Generation generation, List<Holding> ownHoldings, long waitMillis) {
        this.self = self;
        this.waitMillis = waitMillis;
        this.completeMillis = nowMillis;
        generations.add(generation);
        awaitedReports.addAll(generation.survivors());
        awaitedReports.remove(self);
        ownHoldings.forEach(this::count);
    }

    /** Counts a survivor's report, once. */
    void onReport(long nowMillis, VmId from, List<Holding> holdings) {
        if (!awaitedReports.remove(from)) {
            return;
        }
        holdings.forEach(this::count);
        completeMillis = nowMillis;
    }

    private void count(Holding holding) {
        heldParts.merge(holding.key(), holding.parts(), Long::sum);
    }

    boolean isComplete() {
        return awaitedReports.isEmpty();
    }

    long dueMillis() {
        return isComplete() ? completeMillis + waitMillis : Long.MAX_VALUE;
    }

    /** Records a later generation, in which the home of an account may be another VM. */
    void addGeneration(Generation next) {
        generations.add(next);
    }

    /** Parts of an account that no entry holds; 0 if another VM is or has been the account's home. */
    long unheldParts(long nowMillis, AccountKey key) {
        if (nowMillis < dueMillis() || !isHome(key)) {
            return 0;
        }
        return Math.max(0, ALL_PARTS - heldParts.getOrDefault(key, 0L));
    }

    private boolean isHome(AccountKey key) {
        return generations.stream()
                .allMatch(
                        generation -> generation.home(key).filter(self::equals).isPresent());
    }

    /** Records parts that this home granted and that are therefore held from now on. */
    void recordGrant(AccountKey key, long parts) {
        heldParts.merge(key, parts, Long::sum);
    }
}
