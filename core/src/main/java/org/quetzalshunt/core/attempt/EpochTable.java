package org.quetzalshunt.core.attempt;

import org.agrona.collections.Int2ObjectHashMap;

/**
 * Highest epoch seen of each shard, kept for the life of the process. Guards against an owner that was paused while
 * another took its shard over: its orders still name the old epoch. Holds without any clock, from the first order of
 * the new owner on.
 */
final class EpochTable {
    private final Int2ObjectHashMap<Long> highest = new Int2ObjectHashMap<>();

    /** How an epoch stands to those seen before. */
    enum Standing {
        STALE,
        CURRENT,
        NEWER
    }

    Standing observe(int shard, long epoch) {
        Long known = highest.get(shard);
        if (known == null) {
            highest.put(shard, Long.valueOf(epoch));
            return Standing.CURRENT;
        }
        if (epoch < known) {
            return Standing.STALE;
        }
        if (epoch == known) {
            return Standing.CURRENT;
        }
        highest.put(shard, Long.valueOf(epoch));
        return Standing.NEWER;
    }

    int shards() {
        return highest.size();
    }
}
