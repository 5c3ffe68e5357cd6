package org.quetzalshunt.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjLongConsumer;

/** Counts by endpoint as other VMs tell them, each VM anew and whole; what it said before is taken back first. */
final class PeerCounts {
    private final Map<String, Map<String, Long>> byVm = new HashMap<>();
    private final ObjLongConsumer<String> add;

    /**
     * Makes an empty table.
     *
     * @param add adds to the sum of an endpoint, or takes off
     */
    PeerCounts(ObjLongConsumer<String> add) {
        this.add = add;
    }

    /** A VM said its counts; endpoints left out have none. */
    void report(String vm, Map<String, Long> counts) {
        forget(vm);
        byVm.put(vm, counts);
        counts.forEach(add::accept);
    }

    /** A VM is gone or silent. */
    void forget(String vm) {
        Map<String, Long> former = byVm.remove(vm);
        if (former != null) {
            former.forEach((endpoint, count) -> add.accept(endpoint, -count));
        }
    }
}
