package org.quetzalshunt.core.attempt;

import java.util.Optional;
import org.agrona.collections.Long2ObjectHashMap;
import org.agrona.collections.LongArrayQueue;

/**
 * Results of attempts whose frames are no longer kept. Guards against a late copy of an order that must not run
 * again: a non-repeatable call answered long ago, or a cancel that overtook its order on another link.
 */
final class RememberedResults {
    /** As long as a result is kept for a re-send by default; see the service document's idempotencyMillis. */
    static final long KEEP_MILLIS = 3_600_000;

    /** A few megabytes; 27 non-repeatable calls a second for the hour above. */
    static final int MAXIMUM = 100_000;

    private static final long NO_ID = Long.MIN_VALUE;

    private final Long2ObjectHashMap<Remembered> byAttempt = new Long2ObjectHashMap<>();
    private final LongArrayQueue order = new LongArrayQueue(NO_ID);

    private record Remembered(AttemptResult result, long sinceMillis) {}

    void remember(long attempt, AttemptResult result, long nowMillis) {
        if (attempt == NO_ID || byAttempt.put(attempt, new Remembered(result, nowMillis)) != null) {
            return;
        }
        order.offerLong(attempt);
        forgetOldest(nowMillis);
    }

    Optional<AttemptResult> find(long attempt) {
        Remembered remembered = byAttempt.get(attempt);
        return remembered == null ? Optional.empty() : Optional.of(remembered.result());
    }

    int size() {
        return byAttempt.size();
    }

    void forgetOldest(long nowMillis) {
        while (!order.isEmpty()) {
            Remembered oldest = byAttempt.get(order.peekLong());
            if (byAttempt.size() <= MAXIMUM && nowMillis - oldest.sinceMillis() < KEEP_MILLIS) {
                return;
            }
            byAttempt.remove(order.pollLong());
        }
    }
}
