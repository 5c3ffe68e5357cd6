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
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.core.turn.TurnCache;
import org.quetzalshunt.core.turn.TurnRecord;
import org.quetzalshunt.wire.record.StoredRecords;

/**
 * Reads and writes turns in the store. Each turn is stored under its own id together with the ids of the turns before
 * it, so that any VM can find it without knowing its program, and reads a whole chain in two round trips.
 *
 * <p>A record never changes, so an append without a response is simply repeated: the stored content is the same
 * whichever append is applied.
 */
final class TurnHistory {
    /** Result of a search for a turn. */
    sealed interface Chain {
        /** The turn and all turns before it, oldest first. */
        record Found(List<TurnRecord> turns) implements Chain {}

        /** The store was read, and the account has no such turn. */
        record Missing() implements Chain {}

        /** The store could not be read, or has only part of the chain. */
        record Unavailable(String reason) implements Chain {}
    }

    /** About two minutes of one VM's turns at the expected load; other turns are read from the store. */
    private static final long CACHE_BYTES = 12 * 1024 * 1024;

    /** The wall clocks of VMs may differ; a record is removed only when it has expired by every clock. */
    private static final long EXPIRY_MARGIN_MILLIS = 15_000;

    /** Maximum number of removals of expired turns in one append, to keep appends small. */
    private static final int MAXIMUM_REMOVALS = 8;

    /** Minimum number of attempts of a read, since a response may have been lost. */
    private static final int MINIMUM_READS = 2;

    private record StoredTurn(String id, long expiresMillis) {}

    private final EventExecutor executor;
    private final StoreClient store;
    private final NodeClock clock;
    private final BooleanSupplier isolated;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final TurnCache cache = TurnCache.create(CACHE_BYTES);
    private final Map<Integer, Deque<StoredTurn>> storedTurns = new HashMap<>();

    /**
     * Creates a history with an empty cache.
     *
     * @param isolated whether a retry at another VM is more likely to succeed than another attempt here
     */
    TurnHistory(
            EventExecutor executor,
            StoreClient store,
            NodeClock clock,
            DecisionLog log,
            GatewayMetrics metrics,
            BooleanSupplier isolated) {
        this.isolated = isolated;
        this.log = log;
        this.metrics = metrics;
        this.executor = executor;
        this.store = store;
        this.clock = clock;
    }

    /**
     * Reads a turn of an account and all turns before it.
     *
     * @param retryUntilMillis time until which failed reads are retried
     */
    void find(String id, String account, long retryUntilMillis, Consumer<Chain> listener) {
        readTurn(id, ReadRetry.until(id, retryUntilMillis), head -> {
            if (head instanceof Lookup.Unavailable unavailable) {
                listener.accept(new Chain.Unavailable(unavailable.reason()));
                return;
            }
            Optional<TurnRecord> record = ((Lookup.Read) head).record();
            if (record.filter(found -> found.account().equals(account)).isEmpty()) {
                listener.accept(new Chain.Missing());
                return;
            }
            readAncestors(record.get(), retryUntilMillis, listener);
        });
    }

    /** Whether the turn is in this VM's cache. */
    boolean isCached(String id) {
        return cache.find(id, clock.wallMillis()).isPresent();
    }

    /** A turn of an account and all turns before it, if all of them are in this VM's cache. */
    Optional<List<TurnRecord>> cachedChain(String id, String account) {
        Optional<TurnRecord> last =
                cache.find(id, clock.wallMillis()).filter(turn -> turn.account().equals(account));
        if (last.isEmpty()) {
            return Optional.empty();
        }
        List<TurnRecord> turns = new ArrayList<>();
        for (String ancestor : last.get().ancestors()) {
            cache.find(ancestor, clock.wallMillis()).ifPresent(turns::add);
        }
        turns.add(last.get());
        return turns.size() == last.get().ancestors().size() + 1 ? Optional.of(turns) : Optional.empty();
    }

    /** Adds a turn that another VM stored to the cache. */
    void addToCache(TurnRecord turn) {
        cache.put(turn);
    }

    private void readAncestors(TurnRecord last, long retryUntilMillis, Consumer<Chain> listener) {
        List<String> ids = last.ancestors();
        if (ids.isEmpty()) {
            listener.accept(new Chain.Found(List.of(last)));
            return;
        }
        TurnRecord[] turns = new TurnRecord[ids.size() + 1];
        turns[ids.size()] = last;
        ChainCollector collector =
                new ChainCollector(turns, ids.size(), listener, missing -> logMissing(last, missing));
        for (int index = 0; index < ids.size(); index++) {
            int position = index;
            readTurn(
                    ids.get(index),
                    ReadRetry.until(ids.get(index), retryUntilMillis),
                    answer -> collector.add(position, answer));
        }
    }

    /** Collects the ancestors of a turn; if one is missing, the chain is unavailable. */
    private static final class ChainCollector {
        private final TurnRecord[] turns;
        private final Consumer<Chain> listener;
        private final IntConsumer onMissing;
        private int outstanding;
        private String failureReason;

        ChainCollector(TurnRecord[] turns, int outstanding, Consumer<Chain> listener, IntConsumer onMissing) {
            this.turns = turns;
            this.outstanding = outstanding;
            this.listener = listener;
            this.onMissing = onMissing;
        }

        void add(int position, Lookup answer) {
            if (answer instanceof Lookup.Read read && read.record().isPresent()) {
                turns[position] = read.record().get();
            } else if (answer instanceof Lookup.Unavailable unavailable) {
                failureReason = unavailable.reason();
            } else {
                failureReason = "an earlier turn is missing";
                onMissing.accept(position);
            }
            outstanding--;
            if (outstanding > 0) {
                return;
            }
            listener.accept(
                    failureReason == null ? new Chain.Found(List.of(turns)) : new Chain.Unavailable(failureReason));
        }
    }

    private void logMissing(TurnRecord last, int position) {
        metrics.countTurnRecord("missing");
        log.write(log.event("chain-incomplete")
                .put("turn", last.id())
                .put("expiresInMillis", last.expiresMillis() - clock.wallMillis())
                .put("missing", last.ancestors().get(position))
                .put("position", position)
                .put("ancestors", last.ancestors().size()));
    }

    private sealed interface Lookup {
        record Read(Optional<TurnRecord> record) implements Lookup {}

        record Unavailable(String reason) implements Lookup {}
    }

    /** Retry state of the reads of one turn. */
    private static final class ReadRetry {
        private final long retryUntilMillis;
        private final Backoff backoff;
        private int failures;

        private ReadRetry(long retryUntilMillis, Backoff backoff) {
            this.retryUntilMillis = retryUntilMillis;
            this.backoff = backoff;
        }

        static ReadRetry until(String id, long retryUntilMillis) {
            return new ReadRetry(retryUntilMillis, new Backoff(id.hashCode()));
        }

        /** Counts a failed read and returns whether to retry it. */
        boolean retryAfterFailure(long nowMillis) {
            failures++;
            return failures < MINIMUM_READS || nowMillis < retryUntilMillis;
        }

        long pauseMillis() {
            return failures < MINIMUM_READS ? 0 : backoff.nextDelayMillis();
        }
    }

    private void readTurn(String id, ReadRetry retry, Consumer<Lookup> listener) {
        Optional<TurnRecord> cached = cache.find(id, clock.wallMillis());
        if (cached.isPresent()) {
            listener.accept(new Lookup.Read(cached));
            return;
        }
        store.range(Shards.ofTurn(id), keyBefore(id), answer -> {
            if (answer instanceof RangeAnswer.Page page) {
                Optional<TurnRecord> found = findEntry(page.entries(), id);
                found.ifPresent(cache::put);
                listener.accept(new Lookup.Read(found));
                return;
            }
            if (retry.retryAfterFailure(clock.now()) && !isolated.getAsBoolean()) {
                executor.schedule(() -> readTurn(id, retry, listener), retry.pauseMillis(), TimeUnit.MILLISECONDS);
                return;
            }
            listener.accept(new Lookup.Unavailable(((RangeAnswer.Unavailable) answer).reason()));
        });
    }

    /** A key that sorts shortly before the id, so that the first page of a range read after it contains the id. */
    private static String keyBefore(String id) {
        return id.substring(0, id.length() - 1);
    }

    private static Optional<TurnRecord> findEntry(List<MapEntry> entries, String id) {
        return entries.stream()
                .filter(entry -> entry.key().equals(id))
                .findFirst()
                .flatMap(MapEntry::value)
                .flatMap(bytes -> StoredRecords.turn(id, bytes));
    }

    /**
     * Stores a turn, with retries until it is stored or no longer wanted.
     *
     * @param stillWanted checked before each retry
     * @param listener receives whether the turn is certainly stored
     */
    void save(TurnRecord turn, BooleanSupplier stillWanted, Consumer<Boolean> listener) {
        save(turn, stillWanted, listener, new Backoff(turn.id().hashCode()));
    }

    private void save(TurnRecord turn, BooleanSupplier stillWanted, Consumer<Boolean> listener, Backoff backoff) {
        MapShard shard = Shards.ofTurn(turn.id());
        List<MapEntry> entries = new ArrayList<>();
        entries.add(MapEntry.of(turn.id(), StoredRecords.encode(turn)));
        List<StoredTurn> removals = pollExpired(shard);
        removals.forEach(each -> entries.add(MapEntry.removal(each.id())));
        store.append(shard, entries, OptionalLong.empty(), answer -> {
            if (answer instanceof AppendAnswer.Appended) {
                metrics.countTurnRecord("stored");
                logRemovals(removals);
                cache.put(turn);
                storedIn(shard).addLast(new StoredTurn(turn.id(), turn.expiresMillis()));
                listener.accept(true);
                return;
            }
            removals.forEach(storedIn(shard)::addFirst);
            if (!stillWanted.getAsBoolean()) {
                listener.accept(false);
                return;
            }
            executor.schedule(
                    () -> save(turn, stillWanted, listener, backoff), backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
        });
    }

    private void logRemovals(List<StoredTurn> removals) {
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

    private Deque<StoredTurn> storedIn(MapShard shard) {
        return storedTurns.computeIfAbsent(shard.number(), ignored -> new ArrayDeque<>());
    }

    private List<StoredTurn> pollExpired(MapShard shard) {
        Deque<StoredTurn> queue = storedIn(shard);
        List<StoredTurn> removals = new ArrayList<>();
        long before = clock.wallMillis() - EXPIRY_MARGIN_MILLIS;
        while (removals.size() < MAXIMUM_REMOVALS
                && !queue.isEmpty()
                && queue.peekFirst().expiresMillis() < before) {
            removals.add(queue.pollFirst());
        }
        return removals;
    }
}
