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
 * One shard in memory that loses part of the answers to appends. What was asked for is then done at once, never, or some
 * hundred milliseconds later if its condition still holds.
 */
final class LossyMap implements SharedMap {
    private static final int LOST_IN_TEN = 4;
    private static final long WAY_MILLIS = 3;
    private static final long UNANSWERED_MILLIS = 30;
    private static final int LATEST_MILLIS = 300;

    private final EventExecutor executor;
    private final Random random;
    private final TreeMap<String, MapEntry> newest = new TreeMap<>();
    private long end;

    LossyMap(EventExecutor executor, long seed) {
        this.executor = executor;
        this.random = new Random(seed);
    }

    @Override
    public void range(MapShard shard, String after, long limitMillis, Consumer<RangeAnswer> listener) {
        later(WAY_MILLIS, () -> {
            List<MapEntry> entries = List.copyOf(newest.tailMap(after, false).values());
            RangeAnswer page = new RangeAnswer.Page(entries, false, end);
            later(WAY_MILLIS, () -> listener.accept(page));
        });
    }

    @Override
    public void append(
            MapShard shard,
            List<MapEntry> entries,
            OptionalLong expectedEnd,
            long limitMillis,
            Consumer<AppendAnswer> listener) {
        if (random.nextInt(10) >= LOST_IN_TEN) {
            later(WAY_MILLIS, () -> {
                AppendAnswer answer = append(entries, expectedEnd);
                later(WAY_MILLIS, () -> listener.accept(answer));
            });
            return;
        }
        int fate = random.nextInt(3);
        if (fate > 0) {
            later(fate == 1 ? WAY_MILLIS : random.nextInt(LATEST_MILLIS), () -> append(entries, expectedEnd));
        }
        later(UNANSWERED_MILLIS, () -> listener.accept(new AppendAnswer.Unknown("no answer")));
    }

    private AppendAnswer append(List<MapEntry> entries, OptionalLong expectedEnd) {
        if (expectedEnd.isPresent() && expectedEnd.getAsLong() != end) {
            return new AppendAnswer.Conflict(end);
        }
        entries.forEach(entry -> newest.put(entry.key(), entry));
        end += entries.size();
        return new AppendAnswer.Appended(end);
    }

    @Override
    public void changes(
            MapShard shard, long from, long waitMillis, long limitMillis, Consumer<ChangesAnswer> listener) {
        throw new UnsupportedOperationException("budgets follow no changes");
    }

    private void later(long millis, Runnable action) {
        executor.schedule(action, millis, TimeUnit.MILLISECONDS);
    }
}
