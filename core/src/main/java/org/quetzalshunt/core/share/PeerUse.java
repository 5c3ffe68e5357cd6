package org.quetzalshunt.core.share;

import java.util.ArrayList;
import java.util.List;

/** One peer's last report of the slots of one service that its requests use, by client account. */
final class PeerUse {
    /**
     * A report counts in full up to this age: reports are sent at intervals of up to 533 ms, and one of them may be
     * late.
     */
    private static final long FULL_WEIGHT_MILLIS = 800;

    /** A report of this age no longer counts, since the VM that sent it may be lost. */
    private static final long EXPIRY_MILLIS = 2_000;

    private record Entry(AccountRow row, double slots) {}

    private final long arrivedMillis;
    private final List<Entry> entries = new ArrayList<>();

    PeerUse(long arrivedMillis) {
        this.arrivedMillis = arrivedMillis;
    }

    void add(AccountRow row, double slots) {
        row.reports++;
        entries.add(new Entry(row, slots));
    }

    /** Releases the rows that the report refers to, because it was replaced or has expired. */
    void release() {
        entries.forEach(entry -> entry.row().reports--);
    }

    boolean hasExpired(long nowMillis) {
        return nowMillis - arrivedMillis >= EXPIRY_MILLIS;
    }

    /** Adds the reported use to the fleet's use, with a weight that decreases with the age of the report. */
    void addToFleet(long nowMillis) {
        double weight = weight(nowMillis - arrivedMillis);
        for (Entry entry : entries) {
            entry.row().fleetSlots += weight * entry.slots();
        }
    }

    private static double weight(long ageMillis) {
        double left = (EXPIRY_MILLIS - ageMillis) / (double) (EXPIRY_MILLIS - FULL_WEIGHT_MILLIS);
        return Math.max(0, Math.min(1, left));
    }
}
