package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RecordNames;
import org.quetzalshunt.core.turn.TurnRecord;

/**
 * Stores turns, with copies of their ancestors where necessary, and removes the records that this process stored after
 * their expiry. The removals are part of later appends to the same shard.
 *
 * <p>Lifetimes are measured by the monotonic clock: a step of the wall clock must not remove a record too early. Other
 * VMs compare the expiry in a record with their own wall clocks, so the removal allows for the difference.
 */
final class TurnWriter {
    /** Maximum difference between the wall clocks of VMs. */
    private static final long CLOCK_DIFFERENCE_MILLIS = 15_000;

    /** Maximum number of turns removed by one append, to keep appends small. */
    private static final int MAXIMUM_REMOVALS = 8;

    /** Records of a turn in the store: its own and those with copies of its ancestors. */
    private record StoredTurn(String id, int copyRecords, long removeAtMillis) {}

    private final EventExecutor executor;
    private final StoreClient store;
    private final NodeClock clock;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final Map<Integer, Deque<StoredTurn>> storedTurns = new HashMap<>();

    TurnWriter(EventExecutor executor, StoreClient store, NodeClock clock, DecisionLog log, GatewayMetrics metrics) {
        this.executor = executor;
        this.store = store;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Stores a turn, with retries until it is stored or no longer wanted.
     *
     * @param lifetimeMillis time from now until the turn expires
     * @param ancestors ancestors to store again beside the turn; empty if none
     * @param stillWanted checked before each retry
     * @param listener receives whether the turn is certainly stored
     */
    void save(
            TurnRecord turn,
            long lifetimeMillis,
            List<TurnRecord> ancestors,
            BooleanSupplier stillWanted,
            Consumer<Boolean> listener) {
        new Save(turn, lifetimeMillis, ancestors, stillWanted, listener).appendNext();
    }

    private Deque<StoredTurn> storedIn(MapShard shard) {
        return storedTurns.computeIfAbsent(shard.number(), ignored -> new ArrayDeque<>());
    }

    private List<StoredTurn> pollExpired(MapShard shard) {
        Deque<StoredTurn> queue = storedIn(shard);
        List<StoredTurn> expired = new ArrayList<>();
        while (expired.size() < MAXIMUM_REMOVALS
                && !queue.isEmpty()
                && queue.peekFirst().removeAtMillis() < clock.now()) {
            expired.add(queue.pollFirst());
        }
        return expired;
    }

    private void recordRemovals(List<StoredTurn> removals) {
        if (removals.isEmpty()) {
            return;
        }
        ObjectNode line = log.event("turns-removed");
        ArrayNode turns = line.putArray("turns");
        for (StoredTurn removal : removals) {
            metrics.countTurnRecord("removed");
            turns.add(removal.id());
        }
        log.write(line);
    }

    private static void addRemovals(StoredTurn expired, List<MapEntry> entries) {
        entries.add(MapEntry.removal(RecordNames.of(expired.id())));
        for (int number = 0; number < expired.copyRecords(); number++) {
            entries.add(MapEntry.removal(ChainCopies.key(expired.id(), number)));
        }
    }

    /**
     * Stores one turn. Copies that exceed one append are stored before the turn, so that its record never refers to
     * copies that are missing. A record never changes, so an append without a response is simply repeated.
     */
    private final class Save {
        private final MapShard shard;
        private final StoredTurn stored;
        private final Deque<List<MapEntry>> appends;
        private final BooleanSupplier stillWanted;
        private final Consumer<Boolean> listener;
        private final Backoff backoff;

        Save(
                TurnRecord turn,
                long lifetimeMillis,
                List<TurnRecord> ancestors,
                BooleanSupplier stillWanted,
                Consumer<Boolean> listener) {
            this.shard = Shards.ofTurn(turn.id());
            this.appends = new ArrayDeque<>(ChainCopies.appends(turn, ancestors, store.appendLimits()));
            int copyRecords = appends.stream().mapToInt(List::size).sum() - 1;
            this.stored =
                    new StoredTurn(turn.id(), copyRecords, clock.now() + lifetimeMillis + CLOCK_DIFFERENCE_MILLIS);
            this.stillWanted = stillWanted;
            this.listener = listener;
            this.backoff = new Backoff(turn.id().hashCode());
        }

        void appendNext() {
            List<StoredTurn> removals = pollExpired(shard);
            List<MapEntry> entries = new ArrayList<>(appends.peekFirst());
            removals.forEach(expired -> addRemovals(expired, entries));
            store.append(shard, entries, OptionalLong.empty(), answer -> {
                if (answer instanceof AppendAnswer.Appended) {
                    onAppended(removals);
                } else {
                    onFailure(removals);
                }
            });
        }

        private void onAppended(List<StoredTurn> removals) {
            recordRemovals(removals);
            appends.removeFirst();
            if (!appends.isEmpty()) {
                appendNext();
                return;
            }
            storedIn(shard).addLast(stored);
            metrics.countTurnRecord(stored.copyRecords() > 0 ? "stored-with-copies" : "stored");
            listener.accept(true);
        }

        private void onFailure(List<StoredTurn> removals) {
            removals.forEach(storedIn(shard)::addFirst);
            if (stillWanted.getAsBoolean()) {
                executor.schedule(this::appendNext, backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
                return;
            }
            // An append without a response may have been applied, or may be applied later.
            storedIn(shard).addLast(stored);
            listener.accept(false);
        }
    }
}
