package org.quetzalshunt.core.limit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quetzalshunt.core.vm.VmId;

/**
 * At an account's home, the other entries that requested tokens recently and therefore may hold parts, with their
 * demand. These are only hints: a wrong one costs a message, never a token.
 */
final class HolderHints {
    /** Maximum number of holders stored for one account. A home could not query more of them in time. */
    private static final int MAXIMUM_HOLDERS = 16;

    /** A demand that was not reported again within this time counts as ended. */
    private static final long DEMAND_VALIDITY_MILLIS = 1_000;

    private final Map<VmId, Hint> hints = new LinkedHashMap<>();

    private record Hint(long demandMilliTokens, long millis) {}

    /** Records an entry that may hold parts, as the most recent one. */
    void recordHolder(long nowMillis, VmId holder, long demandMilliTokens) {
        hints.remove(holder);
        hints.put(holder, new Hint(demandMilliTokens, nowMillis));
        if (hints.size() > MAXIMUM_HOLDERS) {
            hints.remove(hints.keySet().iterator().next());
        }
    }

    void clear() {
        hints.clear();
    }

    /** The holders, the most recent one last. */
    List<VmId> all() {
        return new ArrayList<>(hints.keySet());
    }

    /** Whether an entry requested tokens within a time before now. */
    boolean requestedWithin(long nowMillis, long millis, VmId holder) {
        Hint hint = hints.get(holder);
        return hint != null && nowMillis - hint.millis() <= millis;
    }

    /** Tokens per second that all entries but one requested recently. */
    double demandPerSecond(long nowMillis, VmId except) {
        double sum = 0;
        for (Map.Entry<VmId, Hint> entry : hints.entrySet()) {
            Hint hint = entry.getValue();
            if (!entry.getKey().equals(except) && nowMillis - hint.millis() < DEMAND_VALIDITY_MILLIS) {
                sum += hint.demandMilliTokens() / 1_000.0;
            }
        }
        return sum;
    }
}
