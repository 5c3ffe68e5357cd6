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
 * What a home may grant because of one generation: the parts that no member carried into it, once those who were left
 * out of it have stopped.
 *
 * <p>It outlives its generation as long as the same VM stays the account's home: what nobody carried into one generation
 * nobody holds in the next either, unless this home granted it. Without that, a fleet in which VMs die one after the
 * other would begin the wait anew each time and never grant.
 */
final class Reclaim {
    private final VmId self;
    private final long waitMillis;
    private final List<Generation> span = new ArrayList<>();
    private final Set<VmId> awaited = new HashSet<>();
    private final Map<AccountKey, Long> held = new HashMap<>();
    private long completeMillis;

    /** A home awaits the reports of all carriers but itself; its own holdings are counted at once. */
    Reclaim(VmId self, long nowMillis, Generation generation, List<Holding> ownHoldings, long waitMillis) {
        this.self = self;
        this.waitMillis = waitMillis;
        this.completeMillis = nowMillis;
        span.add(generation);
        awaited.addAll(generation.carriers());
        awaited.remove(self);
        ownHoldings.forEach(this::count);
    }

    /** Counts a survivor's report, once. */
    void onReport(long nowMillis, VmId from, List<Holding> holdings) {
        if (!awaited.remove(from)) {
            return;
        }
        holdings.forEach(this::count);
        completeMillis = nowMillis;
    }

    private void count(Holding holding) {
        held.merge(holding.key(), holding.parts(), Long::sum);
    }

    boolean isComplete() {
        return awaited.isEmpty();
    }

    long dueMillis() {
        return isComplete() ? completeMillis + waitMillis : Long.MAX_VALUE;
    }

    /** Notes that another generation came, in which the home of an account may be another VM. */
    void outlives(Generation next) {
        span.add(next);
    }

    /** Parts of an account that nobody holds; 0 where another VM is, or has been, the account's home. */
    long unheld(long nowMillis, AccountKey key) {
        if (nowMillis < dueMillis() || !isHome(key)) {
            return 0;
        }
        return Math.max(0, ALL_PARTS - held.getOrDefault(key, 0L));
    }

    private boolean isHome(AccountKey key) {
        return span.stream()
                .allMatch(
                        generation -> generation.home(key).filter(self::equals).isPresent());
    }

    /** Notes what this home granted; it is held from now on. */
    void granted(AccountKey key, long parts) {
        held.merge(key, parts, Long::sum);
    }
}
