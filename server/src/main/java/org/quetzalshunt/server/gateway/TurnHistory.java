package org.quetzalshunt.server.gateway;

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
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.core.turn.TurnCache;
import org.quetzalshunt.core.turn.TurnRecord;
import org.quetzalshunt.wire.record.StoredRecords;

/**
 * Reads and writes turns. Each lies in the shared map under its own id, with the ids of the turns before it, so that any
 * VM finds a turn whichever program or VM it came through, and reads a whole chain in two round trips.
 *
 * <p>A record never changes, so an append without an answer is simply sent again: whenever either lands, the content is
 * the same.
 */
final class TurnHistory {
    /** What came of looking for a turn. */
    sealed interface Chain {
        /** The turn and all before it, oldest first. */
        record Found(List<TurnRecord> turns) implements Chain {}

        /** The map was read, and the account has no such turn. */
        record Missing() implements Chain {}

        /** The map could not be read, or holds only part of the chain. */
        record Unavailable(String reason) implements Chain {}
    }

    /** About two minutes of one VM's turns at today's size; what is not here costs a read. */
    private static final long CACHE_BYTES = 12 * 1024 * 1024;

    /** Time of day may differ between VMs; a record is removed only when every clock says that it expired. */
    private static final long EXPIRY_MARGIN_MILLIS = 15_000;

    /** Removals that ride along with one append; keeps it small. */
    private static final int MOST_REMOVALS = 8;

    /** A read is attempted at least this often, since its answer may have been lost. */
    private static final int LEAST_READS = 2;

    private record Written(String id, long expiresMillis) {}

    private final EventExecutor executor;
    private final StoreClient map;
    private final NodeClock clock;
    private final BooleanSupplier isolated;
    private final TurnCache cache = TurnCache.create(CACHE_BYTES);
    private final Map<Integer, Deque<Written>> written = new HashMap<>();

    /**
     * Makes a history without a turn in its cache.
     *
     * @param isolated whether a retry at another VM is more likely to succeed than another attempt here
     */
    TurnHistory(EventExecutor executor, StoreClient map, NodeClock clock, BooleanSupplier isolated) {
        this.isolated = isolated;
        this.executor = executor;
        this.map = map;
        this.clock = clock;
    }

    /**
     * Finds a turn of an account, with all turns before it.
     *
     * @param untilMillis how long reads that fail are tried again
     */
    void find(String id, String account, long untilMillis, Consumer<Chain> listener) {
        turn(id, Tries.until(id, untilMillis), head -> {
            if (head instanceof Lookup.Unavailable unavailable) {
                listener.accept(new Chain.Unavailable(unavailable.reason()));
                return;
            }
            Optional<TurnRecord> record = ((Lookup.Read) head).record();
            if (record.filter(found -> found.account().equals(account)).isEmpty()) {
                listener.accept(new Chain.Missing());
                return;
            }
            collect(record.get(), untilMillis, listener);
        });
    }

    /** Whether the turn is in this VM's memory. */
    boolean holds(String id) {
        return cache.find(id, clock.wall()).isPresent();
    }

    /** A turn of an account with all turns before it, if all are in this VM's memory. */
    Optional<List<TurnRecord>> heldChain(String id, String account) {
        Optional<TurnRecord> last =
                cache.find(id, clock.wall()).filter(turn -> turn.account().equals(account));
        if (last.isEmpty()) {
            return Optional.empty();
        }
        List<TurnRecord> turns = new ArrayList<>();
        for (String ancestor : last.get().ancestors()) {
            cache.find(ancestor, clock.wall()).ifPresent(turns::add);
        }
        turns.add(last.get());
        return turns.size() == last.get().ancestors().size() + 1 ? Optional.of(turns) : Optional.empty();
    }

    /** Holds a turn in memory that another VM kept. */
    void hold(TurnRecord turn) {
        cache.put(turn);
    }

    private void collect(TurnRecord last, long untilMillis, Consumer<Chain> listener) {
        List<String> ids = last.ancestors();
        if (ids.isEmpty()) {
            listener.accept(new Chain.Found(List.of(last)));
            return;
        }
        TurnRecord[] turns = new TurnRecord[ids.size() + 1];
        turns[ids.size()] = last;
        Gathering gathering = new Gathering(turns, ids.size(), listener);
        for (int index = 0; index < ids.size(); index++) {
            int place = index;
            turn(ids.get(index), Tries.until(ids.get(index), untilMillis), answer -> gathering.take(place, answer));
        }
    }

    /** Waits for all ancestors; one that is missing leaves the chain unusable. */
    private static final class Gathering {
        private final TurnRecord[] turns;
        private final Consumer<Chain> listener;
        private int outstanding;
        private String problem;

        Gathering(TurnRecord[] turns, int outstanding, Consumer<Chain> listener) {
            this.turns = turns;
            this.outstanding = outstanding;
            this.listener = listener;
        }

        void take(int place, Lookup answer) {
            if (answer instanceof Lookup.Read read && read.record().isPresent()) {
                turns[place] = read.record().get();
            } else {
                problem = answer instanceof Lookup.Unavailable unavailable
                        ? unavailable.reason()
                        : "an earlier turn is missing";
            }
            outstanding--;
            if (outstanding > 0) {
                return;
            }
            listener.accept(problem == null ? new Chain.Found(List.of(turns)) : new Chain.Unavailable(problem));
        }
    }

    private sealed interface Lookup {
        record Read(Optional<TurnRecord> record) implements Lookup {}

        record Unavailable(String reason) implements Lookup {}
    }

    /** The reads of one turn so far. */
    private static final class Tries {
        private final long untilMillis;
        private final Backoff backoff;
        private int failed;

        private Tries(long untilMillis, Backoff backoff) {
            this.untilMillis = untilMillis;
            this.backoff = backoff;
        }

        static Tries until(String id, long untilMillis) {
            return new Tries(untilMillis, new Backoff(id.hashCode()));
        }

        boolean more(long nowMillis) {
            failed++;
            return failed < LEAST_READS || nowMillis < untilMillis;
        }

        long pauseMillis() {
            return failed < LEAST_READS ? 0 : backoff.nextDelayMillis();
        }
    }

    private void turn(String id, Tries tries, Consumer<Lookup> listener) {
        Optional<TurnRecord> cached = cache.find(id, clock.wall());
        if (cached.isPresent()) {
            listener.accept(new Lookup.Read(cached));
            return;
        }
        map.range(Shards.ofTurn(id), before(id), answer -> {
            if (answer instanceof RangeAnswer.Page page) {
                Optional<TurnRecord> found = pick(page.entries(), id);
                found.ifPresent(cache::put);
                listener.accept(new Lookup.Read(found));
                return;
            }
            if (tries.more(clock.now()) && !isolated.getAsBoolean()) {
                executor.schedule(() -> turn(id, tries, listener), tries.pauseMillis(), TimeUnit.MILLISECONDS);
                return;
            }
            listener.accept(new Lookup.Unavailable(((RangeAnswer.Unavailable) answer).reason()));
        });
    }

    /** A key that sorts directly before the id, so that a range that starts there begins with it. */
    private static String before(String id) {
        return id.substring(0, id.length() - 1);
    }

    private static Optional<TurnRecord> pick(List<MapEntry> entries, String id) {
        return entries.stream()
                .filter(entry -> entry.key().equals(id))
                .findFirst()
                .flatMap(MapEntry::value)
                .flatMap(bytes -> StoredRecords.turn(id, bytes));
    }

    /**
     * Keeps a turn, trying again until it is kept or the time is up.
     *
     * @param stillWanted asked before each further try
     * @param listener whether it is kept for sure
     */
    void keep(TurnRecord turn, BooleanSupplier stillWanted, Consumer<Boolean> listener) {
        keep(turn, stillWanted, listener, new Backoff(turn.id().hashCode()));
    }

    private void keep(TurnRecord turn, BooleanSupplier stillWanted, Consumer<Boolean> listener, Backoff backoff) {
        MapShard shard = Shards.ofTurn(turn.id());
        List<MapEntry> entries = new ArrayList<>();
        entries.add(MapEntry.of(turn.id(), StoredRecords.encode(turn)));
        List<Written> removals = expired(shard);
        removals.forEach(each -> entries.add(MapEntry.removal(each.id())));
        map.append(shard, entries, OptionalLong.empty(), answer -> {
            if (answer instanceof AppendAnswer.Appended) {
                cache.put(turn);
                queue(shard).addLast(new Written(turn.id(), turn.expiresMillis()));
                listener.accept(true);
                return;
            }
            removals.forEach(queue(shard)::addFirst);
            if (!stillWanted.getAsBoolean()) {
                listener.accept(false);
                return;
            }
            executor.schedule(
                    () -> keep(turn, stillWanted, listener, backoff), backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
        });
    }

    private Deque<Written> queue(MapShard shard) {
        return written.computeIfAbsent(shard.number(), ignored -> new ArrayDeque<>());
    }

    private List<Written> expired(MapShard shard) {
        Deque<Written> queue = queue(shard);
        List<Written> removals = new ArrayList<>();
        long before = clock.wall() - EXPIRY_MARGIN_MILLIS;
        while (removals.size() < MOST_REMOVALS
                && !queue.isEmpty()
                && queue.peekFirst().expiresMillis() < before) {
            removals.add(queue.pollFirst());
        }
        return removals;
    }
}
