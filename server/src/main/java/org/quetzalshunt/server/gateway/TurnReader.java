package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.core.store.RecordNames;
import org.quetzalshunt.core.turn.TurnRecord;
import org.quetzalshunt.wire.record.StoredRecords;

/** Reads turns from the store, each with the copies of its ancestors that are stored beside it. */
final class TurnReader {
    /** Result of the read of one turn. */
    sealed interface Lookup {
        /**
         * The store was read.
         *
         * @param record the turn; empty if the store has none
         * @param copies copies of its ancestors that are stored beside it
         */
        record Read(Optional<TurnRecord> record, List<TurnRecord> copies) implements Lookup {}

        /** The store could not be read. */
        record Unavailable(String reason) implements Lookup {}
    }

    /** Minimum number of attempts of a read, since a response may have been lost. */
    private static final int MINIMUM_READS = 2;

    private final EventExecutor executor;
    private final StoreClient store;
    private final NodeClock clock;
    private final BooleanSupplier isolated;

    TurnReader(EventExecutor executor, StoreClient store, NodeClock clock, BooleanSupplier isolated) {
        this.executor = executor;
        this.store = store;
        this.clock = clock;
        this.isolated = isolated;
    }

    /**
     * Reads a turn.
     *
     * @param retryUntilMillis time until which failed reads are retried
     */
    void read(String id, long retryUntilMillis, Consumer<Lookup> listener) {
        new Read(id, retryUntilMillis, listener).readPage(keyBefore(RecordNames.of(id)));
    }

    /** A key that sorts shortly before the given one, so that the first page of a range read after it contains it. */
    private static String keyBefore(String key) {
        return key.substring(0, key.length() - 1);
    }

    /** The read of one turn, which has further pages only if the copies beside the turn exceed the first one. */
    private final class Read {
        private final String id;
        private final long retryUntilMillis;
        private final Consumer<Lookup> listener;
        private final Backoff backoff;
        private final List<TurnRecord> copies = new ArrayList<>();
        private Optional<TurnRecord> record = Optional.empty();
        private int failures;

        Read(String id, long retryUntilMillis, Consumer<Lookup> listener) {
            this.id = id;
            this.retryUntilMillis = retryUntilMillis;
            this.listener = listener;
            this.backoff = new Backoff(id.hashCode());
        }

        void readPage(String after) {
            store.range(Shards.ofTurn(id), after, answer -> {
                if (answer instanceof RangeAnswer.Page page) {
                    onPage(page);
                } else {
                    onFailure(after, ((RangeAnswer.Unavailable) answer).reason());
                }
            });
        }

        private void onPage(RangeAnswer.Page page) {
            List<MapEntry> entries = page.entries();
            record = record.isPresent() ? record : findTurn(entries);
            record.ifPresent(turn -> copies.addAll(ChainCopies.decode(turn, entries)));
            if (page.continuation().isPresent() && lacksCopies()) {
                readPage(page.continuation().get());
                return;
            }
            listener.accept(new Lookup.Read(record, copies));
        }

        private Optional<TurnRecord> findTurn(List<MapEntry> entries) {
            String key = RecordNames.of(id);
            return entries.stream()
                    .filter(entry -> entry.key().equals(key))
                    .findFirst()
                    .flatMap(MapEntry::value)
                    .flatMap(bytes -> StoredRecords.turn(id, bytes));
        }

        private boolean lacksCopies() {
            return record.filter(
                            turn -> turn.copiedAncestors() == turn.ancestors().size())
                    .filter(turn -> copies.size() < turn.copiedAncestors())
                    .isPresent();
        }

        private void onFailure(String after, String reason) {
            failures++;
            boolean mayRetry = failures < MINIMUM_READS || clock.now() < retryUntilMillis;
            if (!mayRetry || isolated.getAsBoolean()) {
                listener.accept(new Lookup.Unavailable(reason));
                return;
            }
            long pauseMillis = failures < MINIMUM_READS ? 0 : backoff.nextDelayMillis();
            executor.schedule(() -> readPage(after), pauseMillis, TimeUnit.MILLISECONDS);
        }
    }
}
