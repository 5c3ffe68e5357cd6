package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.quetzalshunt.core.turn.ChainRetention;
import org.quetzalshunt.core.turn.TurnCache;
import org.quetzalshunt.core.turn.TurnRecord;

/**
 * Finds and stores turns. Each turn is stored under its own id together with the ids of the turns before it, so that
 * any VM can find it without knowing its program, and reads a whole chain in two round trips. A turn whose ancestors
 * would expire before it is stored with copies of them ({@link ChainRetention}).
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

    /**
     * A turn to be stored.
     *
     * @param id id of the request that ran the turn
     * @param account client account that it belongs to
     * @param chain turns before it, oldest first
     * @param input body of the request
     * @param output data of the response's events, each followed by a line feed
     * @param neededMillis time from now for which the turn and its chain must be kept
     */
    record NewTurn(String id, String account, List<TurnRecord> chain, byte[] input, byte[] output, long neededMillis) {}

    /** About two minutes of one VM's turns at the expected load; other turns are read from the store. */
    private static final long CACHE_BYTES = 12 * 1024 * 1024;

    private final NodeClock clock;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final TurnReader reader;
    private final TurnWriter writer;
    private final TurnCache cache = TurnCache.create(CACHE_BYTES);

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
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.reader = new TurnReader(executor, store, clock, isolated);
        this.writer = new TurnWriter(executor, store, clock, log, metrics);
    }

    /**
     * Reads a turn of an account and all turns before it.
     *
     * @param retryUntilMillis time until which failed reads are retried
     */
    void find(String id, String account, long retryUntilMillis, Consumer<Chain> listener) {
        Optional<TurnRecord> cached = cache.find(id, clock.wallMillis());
        if (cached.isPresent()) {
            readChain(cached, List.of(), account, retryUntilMillis, listener);
            return;
        }
        reader.read(id, retryUntilMillis, answer -> {
            if (answer instanceof TurnReader.Lookup.Read read) {
                read.record().ifPresent(cache::put);
                readChain(read.record(), read.copies(), account, retryUntilMillis, listener);
                return;
            }
            listener.accept(new Chain.Unavailable(((TurnReader.Lookup.Unavailable) answer).reason()));
        });
    }

    private void readChain(
            Optional<TurnRecord> turn,
            List<TurnRecord> copies,
            String account,
            long retryUntilMillis,
            Consumer<Chain> listener) {
        if (turn.filter(found -> found.account().equals(account)).isEmpty()) {
            listener.accept(new Chain.Missing());
            return;
        }
        new ChainRead(turn.get(), copies, retryUntilMillis, listener).start();
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
            cache.findAncestor(ancestor).ifPresent(turns::add);
        }
        turns.add(last.get());
        return turns.size() == last.get().ancestors().size() + 1 ? Optional.of(turns) : Optional.empty();
    }

    /** Adds a turn that another VM stored to the cache. */
    void addToCache(TurnRecord turn) {
        cache.put(turn);
    }

    /**
     * Stores a turn, with retries until it is stored or no longer wanted.
     *
     * @param stillWanted checked before each retry
     * @param listener receives whether the turn is certainly stored
     */
    void save(NewTurn turn, BooleanSupplier stillWanted, Consumer<Boolean> listener) {
        long nowMillis = clock.wallMillis();
        long neededUntilMillis = nowMillis + turn.neededMillis();
        int copied = ChainRetention.copiedAncestors(turn.chain(), neededUntilMillis);
        TurnRecord record = new TurnRecord(
                turn.id(),
                turn.account(),
                turn.chain().stream().map(TurnRecord::id).toList(),
                turn.input(),
                turn.output(),
                ChainRetention.expiresMillis(neededUntilMillis),
                copied);
        boolean storesCopies = copied == turn.chain().size();
        List<TurnRecord> ancestors = storesCopies ? turn.chain() : List.of();
        writer.save(record, record.expiresMillis() - nowMillis, ancestors, stillWanted, stored -> {
            if (stored) {
                cache.put(record);
            }
            listener.accept(stored);
        });
    }

    private void logMissing(TurnRecord last, int position) {
        metrics.countTurnRecord("missing");
        log.write(log.event("chain-incomplete")
                .put("turn", last.id())
                .put("expiresInMillis", last.expiresMillis() - clock.wallMillis())
                .put("missing", last.ancestors().get(position))
                .put("position", position)
                .put("ancestors", last.ancestors().size())
                .put("copiedAncestors", last.copiedAncestors()));
    }

    /**
     * The read of the ancestors of a turn. Copied ancestors are read beside the turn that holds the copies, in one
     * read; the others under their own ids.
     */
    private final class ChainRead {
        private final TurnRecord last;
        private final long retryUntilMillis;
        private final Consumer<Chain> listener;
        private final Map<String, TurnRecord> turns = new HashMap<>();
        private final Set<Integer> copiesRead = new HashSet<>();
        private Optional<String> failureReason = Optional.empty();
        private int outstanding;

        ChainRead(TurnRecord last, List<TurnRecord> copies, long retryUntilMillis, Consumer<Chain> listener) {
            this.last = last;
            this.retryUntilMillis = retryUntilMillis;
            this.listener = listener;
            last.ancestors().forEach(id -> cache.findAncestor(id).ifPresent(this::add));
            copies.forEach(this::addRead);
            add(last);
        }

        private void add(TurnRecord turn) {
            turns.put(turn.id(), turn);
        }

        private void addRead(TurnRecord turn) {
            add(turn);
            cache.put(turn);
        }

        void start() {
            int copied = last.copiedAncestors();
            Set<String> reads = new LinkedHashSet<>();
            OptionalInt missing = firstMissing();
            if (missing.isPresent() && missing.getAsInt() < copied) {
                copiesRead.add(copied);
                reads.add(last.holderOfCopies(copied));
            }
            last.ancestors().stream()
                    .skip(copied)
                    .filter(id -> !turns.containsKey(id))
                    .forEach(reads::add);
            readAll(reads);
        }

        private OptionalInt firstMissing() {
            for (int position = 0; position < last.ancestors().size(); position++) {
                if (!turns.containsKey(last.ancestors().get(position))) {
                    return OptionalInt.of(position);
                }
            }
            return OptionalInt.empty();
        }

        private void readAll(Set<String> ids) {
            outstanding = ids.size();
            if (ids.isEmpty()) {
                complete();
                return;
            }
            ids.forEach(id -> reader.read(id, retryUntilMillis, this::onRead));
        }

        private void onRead(TurnReader.Lookup answer) {
            if (answer instanceof TurnReader.Lookup.Read read) {
                read.copies().forEach(this::addRead);
                read.record().ifPresent(this::addRead);
            } else {
                failureReason = Optional.of(((TurnReader.Lookup.Unavailable) answer).reason());
            }
            outstanding--;
            if (outstanding == 0) {
                complete();
            }
        }

        private void complete() {
            OptionalInt missing = firstMissing();
            if (missing.isEmpty()) {
                List<TurnRecord> chain = new ArrayList<>();
                last.ancestors().forEach(id -> chain.add(turns.get(id)));
                chain.add(last);
                listener.accept(new Chain.Found(chain));
                return;
            }
            if (failureReason.isPresent()) {
                listener.accept(new Chain.Unavailable(failureReason.get()));
                return;
            }
            OptionalInt copies = unreadCopiesOf(missing.getAsInt());
            if (copies.isPresent()) {
                copiesRead.add(copies.getAsInt());
                readAll(Set.of(last.holderOfCopies(copies.getAsInt())));
                return;
            }
            logMissing(last, missing.getAsInt());
            listener.accept(new Chain.Unavailable("an earlier turn is missing"));
        }

        /** Finds copies that only an ancestor refers to: the last turn may be from a version that makes no copies. */
        private OptionalInt unreadCopiesOf(int position) {
            return turns.values().stream()
                    .mapToInt(TurnRecord::copiedAncestors)
                    .filter(copied -> copied > position && !copiesRead.contains(copied))
                    .max();
        }
    }
}
