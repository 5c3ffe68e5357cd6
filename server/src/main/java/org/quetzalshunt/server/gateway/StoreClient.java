package org.quetzalshunt.server.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.ChangesAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.core.store.ResponseTimeout;
import org.quetzalshunt.core.store.SharedMap;

/**
 * The gateway's one way to the shared map: gives each call its time limit by how the map answered lately, and knows
 * whether the store is unavailable, so that work that cannot be stored is rejected before it runs.
 */
final class StoreClient {
    /** Fewer failures in a row may be lost answers; an unavailable store fails calls of every kind. */
    private static final int AWAY_FAILURES = 3;

    /** A store that rejects a part of its calls does so for seconds. */
    private static final long FAILING_MILLIS = 500;

    /**
     * Timeout of a read while the store is unavailable. A read that was sent into a silent outage delays what waits for it
     * by its whole timeout after the store's return.
     */
    private static final long PROBE_MILLIS = 400;

    private final SharedMap map;
    private final NodeClock clock;
    private final List<Runnable> onRegained = new ArrayList<>();
    private final ResponseTimeout limit = ResponseTimeout.create();
    private int failures;
    private long lastFailureMillis = Long.MIN_VALUE / 2;
    private long failedSinceMillis;

    StoreClient(SharedMap map, NodeClock clock) {
        this.map = map;
        this.clock = clock;
    }

    /** Runs an action whenever the store answers again after it was unavailable. */
    void onRegained(Runnable action) {
        onRegained.add(action);
    }

    /** Whether the store answered none of the last calls. */
    boolean unavailable() {
        return failures >= AWAY_FAILURES;
    }

    /** Whether the last call was not answered: the store may be unavailable or reject some calls. */
    boolean failing() {
        return failures > 0 || clock.now() - lastFailureMillis < FAILING_MILLIS;
    }

    /** When the first of those calls was sent, while the store is unavailable. */
    long unavailableSinceMillis() {
        return failedSinceMillis;
    }

    void range(MapShard shard, String after, Consumer<RangeAnswer> listener) {
        long sent = clock.now();
        map.range(shard, after, readLimitMillis(), answer -> {
            note(sent, 0, answer instanceof RangeAnswer.Page);
            listener.accept(answer);
        });
    }

    void append(MapShard shard, List<MapEntry> entries, OptionalLong expectedEnd, Consumer<AppendAnswer> listener) {
        long sent = clock.now();
        map.append(shard, entries, expectedEnd, limit.millis(), answer -> {
            note(sent, 0, answer instanceof AppendAnswer.Appended || answer instanceof AppendAnswer.Conflict);
            listener.accept(answer);
        });
    }

    void changes(MapShard shard, long from, long waitMillis, Consumer<ChangesAnswer> listener) {
        long sent = clock.now();
        map.changes(shard, from, waitMillis, readLimitMillis(), answer -> {
            note(sent, waitMillis, !(answer instanceof ChangesAnswer.Unavailable));
            listener.accept(answer);
        });
    }

    private long readLimitMillis() {
        return unavailable() ? Math.min(PROBE_MILLIS, limit.millis()) : limit.millis();
    }

    private void note(long sentMillis, long waitMillis, boolean answered) {
        if (!answered) {
            failedSinceMillis = failures == 0 ? sentMillis : failedSinceMillis;
            failures++;
            lastFailureMillis = clock.now();
            limit.unanswered();
            return;
        }
        boolean regained = unavailable();
        failures = 0;
        // The latency of a long poll is no measure of the store's.
        if (waitMillis == 0) {
            limit.answered(clock.now() - sentMillis);
        }
        if (regained) {
            onRegained.forEach(Runnable::run);
        }
    }
}
