package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.ChangesAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.core.store.SharedMap;

/**
 * In-memory shard that loses some of the responses to appends. The append of a lost response is applied at once,
 * never, or up to 300 ms later if its condition still holds.
 */
final class LossyMap implements SharedMap {
    private static final int LOST_RESPONSES_PER_TEN = 4;
    private static final long LATENCY_MILLIS = 3;
    private static final long TIMEOUT_MILLIS = 30;
    private static final int MAXIMUM_APPLY_DELAY_MILLIS = 300;

    private final EventExecutor executor;
    private final Random random;
    private final TreeMap<String, MapEntry> entriesByKey = new TreeMap<>();
    private long end;

    LossyMap(EventExecutor executor, long seed) {
        this.executor = executor;
        this.random = new Random(seed);
    }

    @Override
    public void range(MapShard shard, String after, long limitMillis, Consumer<RangeAnswer> listener) {
        later(LATENCY_MILLIS, () -> {
            List<MapEntry> entries =
                    List.copyOf(entriesByKey.tailMap(after, false).values());
            RangeAnswer page = RangeAnswer.Page.of(entries, false, end);
            later(LATENCY_MILLIS, () -> listener.accept(page));
        });
    }

    @Override
    public void append(
            MapShard shard,
            List<MapEntry> entries,
            OptionalLong expectedEnd,
            long limitMillis,
            Consumer<AppendAnswer> listener) {
        if (random.nextInt(10) >= LOST_RESPONSES_PER_TEN) {
            later(LATENCY_MILLIS, () -> {
                AppendAnswer answer = append(entries, expectedEnd);
                later(LATENCY_MILLIS, () -> listener.accept(answer));
            });
            return;
        }
        int lostAppendCase = random.nextInt(3);
        if (lostAppendCase > 0) {
            later(
                    lostAppendCase == 1 ? LATENCY_MILLIS : random.nextInt(MAXIMUM_APPLY_DELAY_MILLIS),
                    () -> append(entries, expectedEnd));
        }
        later(TIMEOUT_MILLIS, () -> listener.accept(new AppendAnswer.Unknown("no answer")));
    }

    private AppendAnswer append(List<MapEntry> entries, OptionalLong expectedEnd) {
        if (expectedEnd.isPresent() && expectedEnd.getAsLong() != end) {
            return new AppendAnswer.Conflict(end);
        }
        entries.forEach(entry -> entriesByKey.put(entry.key(), entry));
        end += entries.size();
        return new AppendAnswer.Appended(end);
    }

    @Override
    public void changes(
            MapShard shard, long from, long waitMillis, long limitMillis, Consumer<ChangesAnswer> listener) {
        throw new UnsupportedOperationException("not used by BudgetManager");
    }

    private void later(long millis, Runnable action) {
        executor.schedule(action, millis, TimeUnit.MILLISECONDS);
    }
}
