package org.quetzalshunt.core.turn;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Turns that this VM wrote or read, bounded in bytes; the least recently used go first. What is not here is read from
 * the shared map, so the bound costs reads, never history.
 */
public final class TurnCache {
    private final long maximumBytes;
    private final LinkedHashMap<String, TurnRecord> records = new LinkedHashMap<>(256, 0.75f, true);
    private long bytes;

    private TurnCache(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /** Makes an empty cache. */
    public static TurnCache create(long maximumBytes) {
        return new TurnCache(maximumBytes);
    }

    /** Keeps a record. */
    public void put(TurnRecord record) {
        TurnRecord former = records.put(record.id(), record);
        bytes += record.weight() - (former == null ? 0 : former.weight());
        while (bytes > maximumBytes && records.size() > 1) {
            Map.Entry<String, TurnRecord> eldest = records.entrySet().iterator().next();
            records.remove(eldest.getKey());
            bytes -= eldest.getValue().weight();
        }
    }

    /** A record, if it is here and not expired. */
    public Optional<TurnRecord> find(String id, long wallMillis) {
        TurnRecord record = records.get(id);
        if (record == null || record.expiresMillis() < wallMillis) {
            return Optional.empty();
        }
        return Optional.of(record);
    }

    /** Bytes held. */
    public long bytes() {
        return bytes;
    }
}
