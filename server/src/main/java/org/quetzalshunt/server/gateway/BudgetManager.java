package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.quetzalshunt.core.budget.ProgramAllotment;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.wire.record.StoredRecords;

/**
 * Grants turns their tokens. Turns that the VM's allotment covers are granted at once; others raise the allotment by an
 * append that expects the shard as it was read. Appends of one shard run one after the other, so that this VM never
 * conflicts with itself.
 */
final class BudgetManager {
    /** Whether a turn may run. */
    sealed interface Verdict {
        /** It may, and its tokens are set aside. */
        record Granted() implements Verdict {}

        /** The budget is spent. */
        record Exhausted(long allotted, long others) implements Verdict {}

        /** The shared map cannot be asked. */
        record Unavailable(String reason) implements Verdict {}
    }

    /** Receives budgets that were found exhausted. */
    interface ExhaustionListener {
        /** All VMs together were allotted so many tokens of the program's budget. */
        void onExhausted(String program, long allottedTokens);
    }

    /** A turn that waits for its grant. */
    private record Pending(
            String program,
            long budget,
            long maximumTokens,
            long keepMillis,
            long giveUpMillis,
            Backoff backoff,
            Consumer<Verdict> listener) {}

    private static final class Row {
        final ProgramAllotment allotment;
        /** The shard's epoch in which the row was read; in a later one others may have appended. */
        long readEpoch = -1;

        Row(ProgramAllotment allotment) {
            this.allotment = allotment;
        }
    }

    private static final class Shard {
        /** Turns that wait for their grant, in order. */
        final Deque<Runnable> tasks = new ArrayDeque<>();

        boolean busy;
        long end;
        long epoch;
    }

    /** A conflict with another VM, or an answer that was lost, is no reason to give up. */
    private static final long LEAST_WAIT_MILLIS = 300;

    /** Programs remembered; far more than run within one retention at one VM. */
    private static final int MOST_PROGRAMS = 20_000;

    /** Allotments that expired by this much are void at every VM, whatever its clock says. */
    private static final long EXPIRY_MARGIN_MILLIS = 15_000;

    /** For this long a program's turns need no renewal of the record. */
    private static final long LIFETIME_MILLIS = 60_000;

    private static final char SEPARATOR = '/';

    private final EventExecutor executor;
    private final StoreClient map;
    private final NodeClock clock;
    private final BooleanSupplier isolated;
    private final ExhaustionListener onExhausted;
    private final String holder;
    private final boolean carried;
    private final Map<MapShard, Shard> shards = new HashMap<>();
    private final LinkedHashMap<String, Row> rows = new LinkedHashMap<>(256, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Row> eldest) {
            return size() > MOST_PROGRAMS;
        }
    };

    /**
     * Makes a keeper that knows no program.
     *
     * @param isolated whether a retry at another VM is more likely to succeed than another attempt here
     * @param onExhausted receives each budget that this VM finds exhausted by reading the shared map
     */
    BudgetManager(
            EventExecutor executor,
            StoreClient map,
            NodeClock clock,
            GatewaySettings settings,
            BooleanSupplier isolated,
            ExhaustionListener onExhausted) {
        this.onExhausted = onExhausted;
        this.isolated = isolated;
        this.executor = executor;
        this.map = map;
        this.clock = clock;
        this.holder = settings.life();
        this.carried = settings.policy().has(Mechanism.PEER_HISTORY);
    }

    private Row row(String program) {
        return rows.computeIfAbsent(program, ignored -> new Row(ProgramAllotment.unknown(carried)));
    }

    /** Gives what this VM may still hand out for a program to another VM. */
    ProgramAllotment.Transfer giveOn(String program) {
        Row row = rows.get(program);
        return row == null ? ProgramAllotment.Transfer.NONE : row.allotment.giveOn();
    }

    /** Another VM gave what it might still have handed out for a program. */
    void received(String program, ProgramAllotment.Transfer transfer) {
        row(program).allotment.received(transfer);
    }

    /** Another VM found the budget of a program exhausted. */
    void exhaustedElsewhere(String program, long allottedTokens) {
        row(program).allotment.allottedAtLeast(allottedTokens);
    }

    /** Whether this VM has granted turns of the program before. */
    boolean knows(String program) {
        Row row = rows.get(program);
        return row != null && row.allotment.known();
    }

    /**
     * Whether this VM can grant a turn of the program without asking the shared map.
     *
     * @param keepMillis how long what the turn spends must be remembered
     */
    boolean covers(String program, long maximumTokens, long keepMillis) {
        Row row = rows.get(program);
        return row != null && row.allotment.covers(maximumTokens, clock.wall() + keepMillis);
    }

    /** Whether a turn's grant is almost sure to come, by what this VM last read of its program. */
    boolean hasHeadroom(String program, long budget, long maximumTokens) {
        Row row = rows.get(program);
        return row != null && row.allotment.hasHeadroom(budget, maximumTokens);
    }

    /** Whether the budget is exhausted by what this VM has read: allotments of peers never shrink. */
    Optional<Verdict.Exhausted> knownExhausted(String program, long budget, long maximumTokens) {
        Row row = rows.get(program);
        if (row == null || !row.allotment.known() || row.allotment.covers(maximumTokens, clock.wall())) {
            return Optional.empty();
        }
        if (row.allotment.wanted(budget, maximumTokens).isPresent()) {
            return Optional.empty();
        }
        return Optional.of(new Verdict.Exhausted(row.allotment.allotted(), row.allotment.others()));
    }

    /**
     * Sets tokens aside for a turn.
     *
     * @param keepMillis how long the program's history is kept after its last turn
     * @param untilMillis how long calls to the shared map that fail are tried again
     */
    void reserve(
            String program,
            long budget,
            long maximumTokens,
            long keepMillis,
            long untilMillis,
            Consumer<Verdict> listener) {
        Row row = row(program);
        if (row.allotment.covers(maximumTokens, clock.wall() + keepMillis)) {
            row.allotment.started(maximumTokens);
            listener.accept(new Verdict.Granted());
            return;
        }
        Optional<Verdict.Exhausted> spent = knownExhausted(program, budget, maximumTokens);
        if (spent.isPresent()) {
            listener.accept(spent.get());
            return;
        }
        MapShard key = Shards.ofProgram(program);
        Shard shard = shards.computeIfAbsent(key, ignored -> new Shard());
        Pending pending = new Pending(
                program,
                budget,
                maximumTokens,
                keepMillis,
                Math.max(untilMillis, clock.now() + LEAST_WAIT_MILLIS),
                new Backoff(program.hashCode()),
                listener);
        queue(shard, () -> step(key, shard, pending));
    }

    private void queue(Shard shard, Runnable task) {
        shard.tasks.addLast(task);
        if (!shard.busy) {
            next(shard);
        }
    }

    /** A turn ended; what it did not hand out is free again for this VM's next turns. */
    void release(String program, long maximumTokens, long handedOut) {
        Row row = rows.get(program);
        if (row != null) {
            row.allotment.ended(maximumTokens, handedOut);
        }
    }

    private MapEntry entry(String program, long tokens, long expiresMillis) {
        StoredRecords.Allotment allotment = new StoredRecords.Allotment(tokens, expiresMillis);
        return MapEntry.of(program + SEPARATOR + holder, StoredRecords.encode(allotment));
    }

    private void next(Shard shard) {
        Runnable task = shard.tasks.pollFirst();
        shard.busy = task != null;
        if (task != null) {
            task.run();
        }
    }

    private void finish(Shard shard, Pending pending, Verdict verdict) {
        pending.listener().accept(verdict);
        next(shard);
    }

    private void step(MapShard key, Shard shard, Pending pending) {
        Row row = row(pending.program());
        long neededUntil = clock.wall() + pending.keepMillis();
        if (row.allotment.covers(pending.maximumTokens(), neededUntil)) {
            row.allotment.started(pending.maximumTokens());
            finish(shard, pending, new Verdict.Granted());
            return;
        }
        if (clock.now() >= pending.giveUpMillis() || isolated.getAsBoolean()) {
            finish(shard, pending, new Verdict.Unavailable("no grant in time"));
            return;
        }
        if (row.readEpoch != shard.epoch) {
            read(key, shard, pending, row);
            return;
        }
        row.allotment.expire(neededUntil);
        OptionalLong wanted = row.allotment.wanted(pending.budget(), pending.maximumTokens());
        if (wanted.isEmpty()) {
            onExhausted.onExhausted(pending.program(), row.allotment.allotted() + row.allotment.others());
            finish(shard, pending, new Verdict.Exhausted(row.allotment.allotted(), row.allotment.others()));
            return;
        }
        raise(key, shard, pending, row, wanted.getAsLong());
    }

    private void stepLater(MapShard key, Shard shard, Pending pending) {
        executor.schedule(() -> step(key, shard, pending), pending.backoff().failedMillis(), TimeUnit.MILLISECONDS);
    }

    private void read(MapShard key, Shard shard, Pending pending, Row row) {
        String prefix = pending.program() + SEPARATOR;
        map.range(key, prefix, answer -> {
            if (!(answer instanceof RangeAnswer.Page page)) {
                stepLater(key, shard, pending);
                return;
            }
            if (page.end() != shard.end) {
                // Others appended since the shard was last read: what other rows know of it is out of date.
                shard.end = page.end();
                shard.epoch++;
            }
            readRow(row, prefix, page.entries());
            row.readEpoch = shard.epoch;
            step(key, shard, pending);
        });
    }

    private void readRow(Row row, String prefix, List<MapEntry> entries) {
        long others = 0;
        long own = 0;
        long ownUntil = 0;
        long expiredBefore = clock.wall() - EXPIRY_MARGIN_MILLIS;
        for (MapEntry entry : entries) {
            if (!entry.key().startsWith(prefix)) {
                break;
            }
            Optional<StoredRecords.Allotment> found = entry.value().flatMap(StoredRecords::allotment);
            if (found.filter(allotment -> allotment.expiresMillis() >= expiredBefore)
                    .isEmpty()) {
                continue;
            }
            if (entry.key().equals(prefix + holder)) {
                own = found.get().tokens();
                ownUntil = found.get().expiresMillis();
            } else {
                others += found.get().tokens();
            }
        }
        row.allotment.read(others, own, ownUntil);
    }

    private void raise(MapShard key, Shard shard, Pending pending, Row row, long tokens) {
        long expiresMillis = clock.wall() + pending.keepMillis() + LIFETIME_MILLIS;
        MapEntry entry = entry(pending.program(), tokens, expiresMillis);
        map.append(key, List.of(entry), OptionalLong.of(shard.end), answer -> {
            if (answer instanceof AppendAnswer.Appended appended) {
                shard.end = appended.end();
                row.allotment.granted(tokens, expiresMillis);
                step(key, shard, pending);
                return;
            }
            shard.epoch++;
            if (answer instanceof AppendAnswer.Conflict) {
                step(key, shard, pending);
            } else {
                stepLater(key, shard, pending);
            }
        });
    }
}
