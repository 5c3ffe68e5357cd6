package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.AppendLimits;
import org.quetzalshunt.core.store.ChangesAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.core.store.SharedMap;

/** In-memory map that answers at once, in pages of limited size, and can be unavailable. */
final class MemoryMap implements SharedMap {
    private static final int PAGE_BYTES = 1 << 20;

    private static final class Shard {
        final TreeMap<String, byte[]> valuesByKey = new TreeMap<>();
        long end;
    }

    private final Map<MapShard, Shard> shards = new HashMap<>();
    boolean unavailable;
    int appends;
    int reads;
    long appendedBytes;

    private Shard shard(MapShard shard) {
        return shards.computeIfAbsent(shard, ignored -> new Shard());
    }

    /** All keys, over all shards. */
    List<String> keys() {
        return shards.values().stream()
                .flatMap(shard -> shard.valuesByKey.keySet().stream())
                .toList();
    }

    /** Stores a record as another process does. */
    void put(MapShard shard, String key, byte[] value) {
        apply(shard(shard), List.of(MapEntry.of(key, value)));
    }

    /** Removes a record as another process does. */
    void remove(MapShard shard, String key) {
        apply(shard(shard), List.of(MapEntry.removal(key)));
    }

    @Override
    public void range(MapShard shard, String after, long timeoutMillis, Consumer<RangeAnswer> listener) {
        reads++;
        if (unavailable) {
            listener.accept(new RangeAnswer.Unavailable("status 503"));
            return;
        }
        List<MapEntry> page = new ArrayList<>();
        int pageBytes = 0;
        boolean more = false;
        for (Map.Entry<String, byte[]> entry :
                shard(shard).valuesByKey.tailMap(after, false).entrySet()) {
            pageBytes += entry.getValue().length;
            if (pageBytes > PAGE_BYTES) {
                more = true;
                break;
            }
            page.add(MapEntry.of(entry.getKey(), entry.getValue()));
        }
        listener.accept(RangeAnswer.Page.of(page, more, shard(shard).end));
    }

    @Override
    public void append(
            MapShard shard,
            List<MapEntry> entries,
            OptionalLong expectedEnd,
            long timeoutMillis,
            Consumer<AppendAnswer> listener) {
        appends++;
        if (unavailable) {
            listener.accept(new AppendAnswer.Refused("status 503"));
            return;
        }
        int bytes = 0;
        for (MapEntry entry : entries) {
            int recordBytes = entry.key().length()
                    + entry.value().map(value -> value.length).orElse(0);
            assertThat(recordBytes).isAtMost(AppendLimits.DEFAULT.recordBytes());
            bytes += recordBytes;
        }
        assertThat(bytes).isAtMost(AppendLimits.DEFAULT.appendBytes());
        appendedBytes += bytes;
        Shard target = shard(shard);
        if (expectedEnd.isPresent() && expectedEnd.getAsLong() != target.end) {
            listener.accept(new AppendAnswer.Conflict(target.end));
            return;
        }
        apply(target, entries);
        listener.accept(new AppendAnswer.Appended(target.end));
    }

    private static void apply(Shard shard, List<MapEntry> entries) {
        for (MapEntry entry : entries) {
            if (entry.value().isPresent()) {
                shard.valuesByKey.put(entry.key(), entry.value().get());
            } else {
                shard.valuesByKey.remove(entry.key());
            }
        }
        shard.end += entries.size();
    }

    @Override
    public void changes(
            MapShard shard, long from, long waitMillis, long timeoutMillis, Consumer<ChangesAnswer> listener) {
        throw new UnsupportedOperationException("not used by these tests");
    }
}
