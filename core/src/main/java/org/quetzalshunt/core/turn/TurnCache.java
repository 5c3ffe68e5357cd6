package org.quetzalshunt.core.turn;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Cache of turns that this VM wrote or read, bounded in bytes, with eviction of the least recently used. A turn that is
 * not cached is read from the shared map, so evictions cost reads but lose no history.
 */
public final class TurnCache {
    private final long maximumBytes;
    private final LinkedHashMap<String, TurnRecord> records = new LinkedHashMap<>(256, 0.75f, true);
    private long bytes;

    private TurnCache(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /** Creates an empty cache. */
    public static TurnCache create(long maximumBytes) {
        return new TurnCache(maximumBytes);
    }

    /** Adds or replaces a record, and evicts others if the cache exceeds its size. */
    public void put(TurnRecord record) {
        TurnRecord replaced = records.put(record.id(), record);
        bytes += record.sizeBytes() - (replaced == null ? 0 : replaced.sizeBytes());
        while (bytes > maximumBytes && records.size() > 1) {
            Map.Entry<String, TurnRecord> eldest = records.entrySet().iterator().next();
            records.remove(eldest.getKey());
            bytes -= eldest.getValue().sizeBytes();
        }
    }

    /** Finds a record that is cached and not expired. */
    public Optional<TurnRecord> find(String id, long wallMillis) {
        TurnRecord record = records.get(id);
        if (record == null || record.expiresMillis() < wallMillis) {
            return Optional.empty();
        }
        return Optional.of(record);
    }

    /**
     * Finds a record as the ancestor of another turn. Its own expiry does not matter: the turns that continue from it
     * decide how long it is needed.
     */
    public Optional<TurnRecord> findAncestor(String id) {
        return Optional.ofNullable(records.get(id));
    }

    /** Size of all cached records in bytes. */
    public long bytes() {
        return bytes;
    }
}
