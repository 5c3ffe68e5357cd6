package org.quetzalshunt.server.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.AppendLimits;
import org.quetzalshunt.core.store.ChangesAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.core.store.ResponseTimeout;
import org.quetzalshunt.core.store.SharedMap;

/**
 * Client through which all components of the gateway access the store. It adapts the timeout of each call to recent
 * response times, and detects that the store is unavailable, so that work that cannot be stored is rejected before it
 * runs.
 */
final class StoreClient {
    /**
     * Consecutive failures after which the store counts as unavailable. Fewer may be single lost responses; an
     * unavailable store fails calls of every kind.
     */
    private static final int UNAVAILABLE_FAILURES = 3;

    /**
     * Time for which a failure counts after it was followed by a success: a store that rejects part of its calls does
     * so for seconds.
     */
    private static final long FAILING_PERIOD_MILLIS = 500;

    /**
     * Timeout of a read while the store is unavailable. A read that was sent during an outage without responses delays
     * everything that waits for it by its whole timeout, even after the store has recovered.
     */
    private static final long UNAVAILABLE_READ_TIMEOUT_MILLIS = 400;

    private final SharedMap map;
    private final NodeClock clock;
    private final List<Runnable> onRecovered = new ArrayList<>();
    private final ResponseTimeout timeout = ResponseTimeout.create();
    private int failures;
    private long lastFailureMillis = Long.MIN_VALUE / 2;
    private long failedSinceMillis;

    StoreClient(SharedMap map, NodeClock clock) {
        this.map = map;
        this.clock = clock;
    }

    /** Registers an action that runs whenever the store answers again after it was unavailable. */
    void onRecovered(Runnable action) {
        onRecovered.add(action);
    }

    /** Whether the store failed to answer the last calls, so that it counts as unavailable. */
    boolean isUnavailable() {
        return failures >= UNAVAILABLE_FAILURES;
    }

    /**
     * Whether the last call, or a call shortly before, was not answered: the store may be unavailable or reject some
     * calls.
     */
    boolean isFailing() {
        return failures > 0 || clock.now() - lastFailureMillis < FAILING_PERIOD_MILLIS;
    }

    /** When the first of the unanswered calls was sent; valid while the store is unavailable. */
    long unavailableSinceMillis() {
        return failedSinceMillis;
    }

    AppendLimits appendLimits() {
        return map.appendLimits();
    }

    void range(MapShard shard, String after, Consumer<RangeAnswer> listener) {
        long sentMillis = clock.now();
        map.range(shard, after, readTimeoutMillis(), answer -> {
            recordCall(sentMillis, 0, answer instanceof RangeAnswer.Page);
            listener.accept(answer);
        });
    }

    void append(MapShard shard, List<MapEntry> entries, OptionalLong expectedEnd, Consumer<AppendAnswer> listener) {
        long sentMillis = clock.now();
        map.append(shard, entries, expectedEnd, timeout.millis(), answer -> {
            recordCall(
                    sentMillis, 0, answer instanceof AppendAnswer.Appended || answer instanceof AppendAnswer.Conflict);
            listener.accept(answer);
        });
    }

    void changes(MapShard shard, long from, long waitMillis, Consumer<ChangesAnswer> listener) {
        long sentMillis = clock.now();
        map.changes(shard, from, waitMillis, readTimeoutMillis(), answer -> {
            recordCall(sentMillis, waitMillis, !(answer instanceof ChangesAnswer.Unavailable));
            listener.accept(answer);
        });
    }

    private long readTimeoutMillis() {
        return isUnavailable() ? Math.min(UNAVAILABLE_READ_TIMEOUT_MILLIS, timeout.millis()) : timeout.millis();
    }

    private void recordCall(long sentMillis, long waitMillis, boolean answered) {
        if (!answered) {
            failedSinceMillis = failures == 0 ? sentMillis : failedSinceMillis;
            failures++;
            lastFailureMillis = clock.now();
            timeout.recordFailure();
            return;
        }
        boolean recovered = isUnavailable();
        failures = 0;
        // The duration of a long poll does not measure the latency of the store.
        if (waitMillis == 0) {
            timeout.recordLatency(clock.now() - sentMillis);
        }
        if (recovered) {
            onRecovered.forEach(Runnable::run);
        }
    }
}
