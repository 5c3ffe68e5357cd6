package org.quetzalshunt.core.attempt;

import org.agrona.collections.Int2ObjectHashMap;

/**
 * Highest epoch seen for each shard, kept for the lifetime of the process. Detects orders from an owner that was paused
 * while another took over its shard, because they carry the old epoch. Needs no clock and is effective from the new
 * owner's first message on.
 */
final class EpochTable {
    private final Int2ObjectHashMap<Long> highest = new Int2ObjectHashMap<>();

    /** Relation of an epoch to the highest one seen before. */
    enum Freshness {
        STALE,
        CURRENT,
        NEWER
    }

    Freshness observe(int shard, long epoch) {
        Long known = highest.get(shard);
        if (known == null) {
            highest.put(shard, Long.valueOf(epoch));
            return Freshness.CURRENT;
        }
        if (epoch < known) {
            return Freshness.STALE;
        }
        if (epoch == known) {
            return Freshness.CURRENT;
        }
        highest.put(shard, Long.valueOf(epoch));
        return Freshness.NEWER;
    }

    int shardCount() {
        return highest.size();
    }
}
