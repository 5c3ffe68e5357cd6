package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.ChangesAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.core.store.SharedMap;

/**
 * Empty map that can stop answering: a call that is made meanwhile is reported as unanswered at its time limit, even
 * if the map answers again before.
 */
final class SilentMap implements SharedMap {
    private final EventExecutor executor;
    volatile boolean silent;

    SilentMap(EventExecutor executor) {
        this.executor = executor;
    }

    @Override
    public void range(MapShard shard, String after, long limitMillis, Consumer<RangeAnswer> listener) {
        answer(
                0,
                limitMillis,
                () -> listener.accept(RangeAnswer.Page.of(List.of(), false, 0)),
                () -> listener.accept(new RangeAnswer.Unavailable("no answer")));
    }

    @Override
    public void append(
            MapShard shard,
            List<MapEntry> entries,
            OptionalLong expectedEnd,
            long limitMillis,
            Consumer<AppendAnswer> listener) {
        answer(
                0,
                limitMillis,
                () -> listener.accept(new AppendAnswer.Appended(1)),
                () -> listener.accept(new AppendAnswer.Unknown("no answer")));
    }

    @Override
    public void changes(
            MapShard shard, long from, long waitMillis, long limitMillis, Consumer<ChangesAnswer> listener) {
        answer(
                waitMillis,
                waitMillis + limitMillis,
                () -> listener.accept(new ChangesAnswer.Changes(List.of(), from, from)),
                () -> listener.accept(new ChangesAnswer.Unavailable("no answer")));
    }

    private void answer(long afterMillis, long limitMillis, Runnable onAnswer, Runnable onTimeout) {
        boolean lost = silent;
        executor.schedule(lost ? onTimeout : onAnswer, lost ? limitMillis : afterMillis + 1, TimeUnit.MILLISECONDS);
    }
}
