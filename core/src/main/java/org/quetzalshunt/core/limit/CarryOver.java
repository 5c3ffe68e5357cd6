package org.quetzalshunt.core.limit;

import static org.quetzalshunt.core.limit.LimitMessage.ALL_PARTS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

    private final VmId self;
    private final LimitSettings settings;
    private final Map<VmId, CarryReport> unacknowledged = new HashMap<>();
    private final Map<AccountKey, Long> reported = new HashMap<>();
    private final Set<VmId> awaited = new HashSet<>();
    private Generation generation = Generation.none();
    private long completeMillis;
    private long sentMillis;
    private long grantedMillis;
    private boolean granted;

    CarryOver(VmId self, LimitSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    /** Starts the step. The holdings are what this VM carries over; it may be nothing. */
    void start(long nowMillis, Generation next, List<Holding> holdings, BiConsumer<VmId, LimitMessage> sender) {
        generation = next;
        granted = false;
        unacknowledged.clear();
        reported.clear();
        awaited.clear();
        Set<VmId> carriers = next.carriers();
        if (next.homes.contains(self)) {
            awaited.addAll(carriers);
            awaited.remove(self);
            holdings.forEach(this::count);
        }
        completeMillis = nowMillis;
        if (carriers.contains(self)) {
            prepareReports(holdings);
            send(nowMillis, sender);
        }
    }

    private void prepareReports(List<Holding> holdings) {
        for (VmId home : generation.homes) {
            if (home.equals(self)) {
                continue;
            }
            List<Holding> ofHome = new ArrayList<>(holdings);
            ofHome.removeIf(
                    holding -> !generation.home(holding.key()).orElseThrow().equals(home));
            unacknowledged.put(home, new CarryReport(generation.offset, ofHome));
        }
    }

    private void send(long nowMillis, BiConsumer<VmId, LimitMessage> sender) {
        sentMillis = nowMillis;
        unacknowledged.forEach(sender);
    }

    /** Counts a survivor's report, once. */
    void onReport(long nowMillis, VmId from, CarryReport report) {
        if (!awaited.remove(from)) {
            return;
        }
        report.holdings().forEach(this::count);
        completeMillis = nowMillis;
    }

    private void count(Holding holding) {
        reported.merge(holding.key(), holding.parts(), Long::sum);
    }

    void onAcknowledgement(VmId from) {
        unacknowledged.remove(from);
    }

    void tick(long nowMillis, BiConsumer<VmId, LimitMessage> sender) {
        if (!unacknowledged.isEmpty() && nowMillis - sentMillis >= REPEAT_MILLIS) {
            send(nowMillis, sender);
        }
    }

    /** Whether this home grants now what nobody holds; true once a generation. */
    boolean becomesGranted(long nowMillis) {
        boolean home = generation.homes.contains(self);
        if (granted || !home || !awaited.isEmpty() || nowMillis < completeMillis + waitMillis()) {
            return false;
        }
        granted = true;
        grantedMillis = nowMillis;
        return true;
    }

    /** When this home granted what nobody held; now, if it did not yet. */
    long grantedMillis(long nowMillis) {
        return granted ? grantedMillis : nowMillis;
    }

    /** Parts of an account that nobody carried over and that are this home's since it granted them; 0 before. */
    long unheldParts(AccountKey key) {
        boolean home = generation.home(key).filter(self::equals).isPresent();
        return granted && home ? Math.max(0, ALL_PARTS - reported.getOrDefault(key, 0L)) : 0;
    }

    /** Time from the last report to the grant. */
    private long waitMillis() {
        return waitMillis(generation.record, settings);
    }

    /** Time that a generation's reclaimed parts stay unused. Before the first generation nobody can have held any. */
    static long waitMillis(LimitGenerationRecord record, LimitSettings settings) {
        if (record.first()) {
            return 0;
        }
        return settings.stoppedAfterMillis() + (record.longWait() ? settings.listLagMillis() : 0);
    }
}
