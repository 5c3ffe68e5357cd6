package org.quetzalshunt.core.store;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Client of the platform's shared map. Reads and appends are linearizable. Each call has its own timeout and calls its
 * listener exactly once, on the caller's event loop.
 */
public interface SharedMap {
    /** Limits on the size of appends. */
    default AppendLimits appendLimits() {
        return AppendLimits.DEFAULT;
    }

    /**
     * Reads the newest record of each key after {@code after}, which need not exist.
     *
     * @param timeoutMillis time after which the call is reported as unanswered
     */
    void range(MapShard shard, String after, long timeoutMillis, Consumer<RangeAnswer> listener);

    /**
     * Appends records atomically.
     *
     * @param expectedEnd if present, the records are stored only if the shard ends there when they are appended
     * @param timeoutMillis time after which the call is reported as unanswered
     */
    void append(
            MapShard shard,
            List<MapEntry> entries,
            OptionalLong expectedEnd,
            long timeoutMillis,
            Consumer<AppendAnswer> listener);

    /**
     * Reads records in the order in which they were appended.
     *
     * @param from offset of the first record to read
     * @param waitMillis maximum time to wait for a record (long poll); 0 to return at once
     * @param timeoutMillis time after the wait at which the call is reported as unanswered
     */
    void changes(MapShard shard, long from, long waitMillis, long timeoutMillis, Consumer<ChangesAnswer> listener);
}
