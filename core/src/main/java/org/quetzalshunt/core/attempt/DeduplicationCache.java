package org.quetzalshunt.core.attempt;

import java.util.Optional;
import org.agrona.collections.Long2ObjectHashMap;
import org.agrona.collections.LongArrayQueue;

/**
 * Keeps results of attempts whose frames are not retained, so that a late duplicate of an order is not run again.
 * Covers non-repeatable calls that finished long ago, refused orders, and cancels that arrived on another link before
 * their order.
 */
final class DeduplicationCache {
    /**
     * Equals the default time for which a result is kept for a re-sent request; see the service document's
     * idempotencyMillis.
     */
    static final long RETENTION_MILLIS = 3_600_000;

    /** A few megabytes; enough for 27 non-repeatable calls a second over the retention time of one hour. */
    static final int MAXIMUM_ENTRIES = 100_000;

    private static final long NO_ID = Long.MIN_VALUE;

    private final Long2ObjectHashMap<Entry> byAttempt = new Long2ObjectHashMap<>();
    private final LongArrayQueue order = new LongArrayQueue(NO_ID);

    private record Entry(AttemptResult result, long storedAtMillis) {}

    void put(long attempt, AttemptResult result, long nowMillis) {
        if (attempt == NO_ID || byAttempt.put(attempt, new Entry(result, nowMillis)) != null) {
            return;
        }
        order.offerLong(attempt);
        evictExpired(nowMillis);
    }

    Optional<AttemptResult> find(long attempt) {
        Entry entry = byAttempt.get(attempt);
        return entry == null ? Optional.empty() : Optional.of(entry.result());
    }

    int size() {
        return byAttempt.size();
    }

    void evictExpired(long nowMillis) {
        while (!order.isEmpty()) {
            Entry oldest = byAttempt.get(order.peekLong());
            if (byAttempt.size() <= MAXIMUM_ENTRIES && nowMillis - oldest.storedAtMillis() < RETENTION_MILLIS) {
                return;
            }
            byAttempt.remove(order.pollLong());
        }
    }
}
