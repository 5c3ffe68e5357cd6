package org.quetzalshunt.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjLongConsumer;

/** Counts by endpoint or by service that peers report. A new report of a peer replaces its previous one. */
public final class PeerCounts {
    private final Map<String, Map<String, Long>> byVm = new HashMap<>();
    private final ObjLongConsumer<String> add;

    /**
     * Creates an empty table.
     *
     * @param add adds a count, which may be negative, to the sum of a key over all peers
     */
    public PeerCounts(ObjLongConsumer<String> add) {
        this.add = add;
    }

    /** Replaces the counts of a VM; a missing key has none. */
    public void replace(String vm, Map<String, Long> counts) {
        remove(vm);
        byVm.put(vm, counts);
        counts.forEach(add::accept);
    }

    /** Removes the counts of a VM that is dead or unreachable. */
    public void remove(String vm) {
        Map<String, Long> previous = byVm.remove(vm);
        if (previous != null) {
            previous.forEach((endpoint, count) -> add.accept(endpoint, -count));
        }
    }

    /** Number of peers whose counts are known. */
    public int peers() {
        return byVm.size();
    }
}
