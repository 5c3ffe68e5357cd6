package org.quetzalshunt.core.store;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The platform's shared map. Answers are linearizable; each call has a time limit of its own and answers exactly
 * once, on the caller's event loop.
 */
public interface SharedMap {
    /**
     * Reads the newest record of each key behind {@code after}, which need not exist.
     *
     * @param limitMillis time after which the call counts as unanswered
     */
    void range(MapShard shard, String after, long limitMillis, Consumer<RangeAnswer> listener);

    /**
     * Appends records, all or none.
     *
     * @param expectedEnd when present, the append is done only if the shard ends there at that moment
     * @param limitMillis time after which the call counts as unanswered
     */
    void append(
            MapShard shard,
            List<MapEntry> entries,
            OptionalLong expectedEnd,
            long limitMillis,
            Consumer<AppendAnswer> listener);

    /**
     * Reads records in their order.
     *
     * @param from number of the first record wanted
     * @param waitMillis longest time to wait for one; 0 answers at once
     * @param limitMillis time after the wait at which the call counts as unanswered
     */
    void changes(MapShard shard, long from, long waitMillis, long limitMillis, Consumer<ChangesAnswer> listener);
}
