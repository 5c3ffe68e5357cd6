package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.ChangesAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.core.store.SharedMap;

/** In-memory shard with records of operators. It returns range reads in pages of two and can discard its history. */
final class OperatorMap implements SharedMap {
    private static final int PAGE_SIZE = 2;
    private static final long LATENCY_MILLIS = 5;

    private final EventExecutor executor;
    private final List<MapEntry> history = new ArrayList<>();
    private long firstOffset;

    OperatorMap(EventExecutor executor) {
        this.executor = executor;
    }

    void put(String key) {
        history.add(MapEntry.of(key, new byte[] {'{', '}'}));
    }

    void remove(String key) {
        history.add(MapEntry.removal(key));
    }

    void compact() {
        firstOffset = history.size();
    }

    @Override
    public void range(MapShard shard, String after, long limitMillis, Consumer<RangeAnswer> listener) {
        later(() -> {
            TreeMap<String, MapEntry> entriesByKey = new TreeMap<>();
            history.forEach(entry -> entriesByKey.put(entry.key(), entry));
            entriesByKey.values().removeIf(entry -> entry.value().isEmpty());
            List<MapEntry> remaining =
                    List.copyOf(entriesByKey.tailMap(after, false).values());
            List<MapEntry> page = remaining.subList(0, Math.min(PAGE_SIZE, remaining.size()));
            listener.accept(RangeAnswer.Page.of(page, remaining.size() > PAGE_SIZE, history.size()));
        });
    }

    @Override
    public void append(
            MapShard shard,
            List<MapEntry> entries,
            OptionalLong expectedEnd,
            long limitMillis,
            Consumer<AppendAnswer> listener) {
        throw new UnsupportedOperationException("not used by ConfigurationFollower");
    }

    @Override
    public void changes(
            MapShard shard, long from, long waitMillis, long limitMillis, Consumer<ChangesAnswer> listener) {
        later(() -> listener.accept(changes(from)));
    }

    private ChangesAnswer changes(long from) {
        if (from < firstOffset) {
            return new ChangesAnswer.Gone();
        }
        return new ChangesAnswer.Changes(
                List.copyOf(history.subList((int) from, history.size())), history.size(), history.size());
    }

    private void later(Runnable action) {
        executor.schedule(action, LATENCY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
