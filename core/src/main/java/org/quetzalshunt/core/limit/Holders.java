package org.quetzalshunt.core.limit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quetzalshunt.core.vm.VmId;

/**
 * What an account's home knows of the other entries: who asked of late, and so may hold parts, and for how much traffic.
 * Only hints: a wrong one costs a message, never a token.
 */
final class Holders {
    /** Holders that a home remembers of one account; more would not be asked in time anyway. */
    private static final int MOST_HOLDERS = 16;

    /** A demand that was not heard of again for this time has gone elsewhere. */
    private static final long FRESH_MILLIS = 1_000;

    private final Map<VmId, Hint> hints = new LinkedHashMap<>();

    private record Hint(long demandMilliTokens, long millis) {}

    /** Notes an entry that may hold parts, as the most recent one. */
    void note(long nowMillis, VmId holder, long demandMilliTokens) {
        hints.remove(holder);
        hints.put(holder, new Hint(demandMilliTokens, nowMillis));
        if (hints.size() > MOST_HOLDERS) {
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

    /** Whether an entry asked within the time before now. */
    boolean askedWithin(long nowMillis, long millis, VmId holder) {
        Hint hint = hints.get(holder);
        return hint != null && nowMillis - hint.millis() <= millis;
    }

    /** Tokens a second that the entries but one asked for of late. */
    double demandPerSecond(long nowMillis, VmId except) {
        double sum = 0;
        for (Map.Entry<VmId, Hint> entry : hints.entrySet()) {
            Hint hint = entry.getValue();
            if (!entry.getKey().equals(except) && nowMillis - hint.millis() < FRESH_MILLIS) {
                sum += hint.demandMilliTokens() / 1_000.0;
            }
        }
        return sum;
    }
}
