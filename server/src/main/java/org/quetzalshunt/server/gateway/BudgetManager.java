package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.ArrayList;
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
import org.quetzalshunt.core.budget.AllotmentRecords;
import org.quetzalshunt.core.budget.ProgramAllotment;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.core.store.RecordNames;
import org.quetzalshunt.wire.record.StoredRecords;

/**
 * Grants tokens of program budgets to turns. A turn that this VM's allotment covers is granted at once; otherwise the
 * allotment is raised by a conditional append to the program's shard, which fails if another VM appended after the
 * shard was read. Appends to one shard run one after the other, so that this VM never conflicts with itself.
 */
final class BudgetManager {
    /** Result of a request for tokens. */
    sealed interface Verdict {
        /** The turn may run, and its tokens are reserved. */
        record Granted() implements Verdict {}

        /** The rest of the budget does not cover the turn. */
        record Exhausted(long allotted, long others) implements Verdict {}

        /** The store did not answer in time. */
        record Unavailable(String reason) implements Verdict {}
    }

    /** Receives the budgets that this VM found exhausted. */
    interface ExhaustionListener {
        /** Called with the total number of tokens of the budget that is allotted to all VMs. */
        void onExhausted(String program, long allottedTokens);
    }

    /** A turn that waits for its token grant. */
    private record Pending(
            String program,
            long budget,
            long maximumTokens,
            long neededMillis,
            long retryUntilMillis,
            Backoff backoff,
            Consumer<Verdict> listener) {}

    private static final class ProgramState {
        final ProgramAllotment allotment;
        final AllotmentRecords records = AllotmentRecords.create();
        /** When all records of the program were last known to be kept for long enough, on this VM's clock. */
        long renewedMillis = Long.MIN_VALUE / 2;
        /**
         * Epoch of the shard when this state was read; once the epoch differs, other VMs may have changed the
         * allotments.
         */
        long readEpoch = -1;

        ProgramState(ProgramAllotment allotment) {
            this.allotment = allotment;
        }

        boolean isRead(Shard shard) {
            return readEpoch == shard.epoch;
        }
    }

    private static final class Shard {
        /** Grant requests of waiting turns, in order of arrival. */
        final Deque<Runnable> tasks = new ArrayDeque<>();

        boolean busy;
        long end;
        long epoch;
    }

    /**
     * Minimum time for which conflicts with other VMs and lost responses are retried, even if the caller has less time
     * left.
     */
    private static final long MINIMUM_RETRY_MILLIS = 300;

    /** Maximum number of programs in memory; far more than run at one VM within one retention period. */
    private static final int MAXIMUM_PROGRAMS = 20_000;

    /** An allotment that expired longer ago than this is ignored; the margin covers clock differences between VMs. */
    private static final long EXPIRY_MARGIN_MILLIS = 15_000;

    /**
     * Time for which tokens are granted without an access to the store beyond the time for which they are needed, so
     * that the records are not renewed for every turn of a running program. Records are kept for twice this time, so
     * that those of other VMs outlast the grants from this one.
     */
    private static final long RENEWAL_MARGIN_MILLIS = 60_000;

    private static final char SEPARATOR = '/';

    private final EventExecutor executor;
    private final StoreClient store;
    private final NodeClock clock;
    private final DecisionLog log;
    private final BooleanSupplier isolated;
    private final ExhaustionListener onExhausted;
    private final String holder;
    private final boolean transfersAllotments;
    private final Map<MapShard, Shard> shards = new HashMap<>();
    private final LinkedHashMap<String, ProgramState> programs = new LinkedHashMap<>(256, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ProgramState> eldest) {
            return size() > MAXIMUM_PROGRAMS;
        }
    };

    /**
     * Makes a manager with an empty program table.
     *
     * @param isolated whether a retry at another VM is more likely to succeed than another attempt here
     * @param onExhausted receives each budget that this VM finds exhausted by reading the store
     */
    BudgetManager(
            EventExecutor executor,
            StoreClient store,
            NodeClock clock,
            DecisionLog log,
            GatewaySettings settings,
            BooleanSupplier isolated,
            ExhaustionListener onExhausted) {
        this.onExhausted = onExhausted;
        this.isolated = isolated;
        this.executor = executor;
        this.store = store;
        this.clock = clock;
        this.log = log;
        this.holder = settings.incarnationId();
        this.transfersAllotments = settings.policy().isEnabled(Mechanism.PEER_HISTORY);
    }

    private ProgramState stateOf(String program) {
        return programs.computeIfAbsent(
                program, ignored -> new ProgramState(ProgramAllotment.unknown(transfersAllotments)));
    }

    /** Removes this VM's unspent tokens of a program, for transfer to another VM. */
    ProgramAllotment.Transfer takeUnspent(String program) {
        ProgramState state = programs.get(program);
        return state == null ? ProgramAllotment.Transfer.NONE : state.allotment.takeUnspent();
    }

    /** Adds tokens of a program that another VM transferred. */
    void addTransferred(String program, ProgramAllotment.Transfer transfer) {
        stateOf(program).allotment.addTransferred(transfer);
    }

    /** Records the total allotment of a program whose budget another VM found exhausted. */
    void onPeerExhausted(String program, long allottedTokens) {
        ProgramState state = stateOf(program);
        state.allotment.allottedAtLeast(allottedTokens);
        state.renewedMillis = clock.now();
    }

    /** Whether this VM has read, or received from a peer, the allotments of other VMs from the program's budget. */
    boolean isKnown(String program) {
        ProgramState state = programs.get(program);
        return state != null && state.allotment.known();
    }

    /**
     * Whether this VM can grant a turn of the program without an access to the store.
     *
     * @param neededMillis time from now for which the record of the tokens that the turn consumes must be kept
     */
    boolean canGrantLocally(String program, long maximumTokens, long neededMillis) {
        ProgramState state = programs.get(program);
        return state != null && state.allotment.covers(maximumTokens, clock.wallMillis() + neededMillis);
    }

    /** Whether the budget, as last read, has room for several more turns, so that a grant is very likely. */
    boolean hasHeadroom(String program, long budget, long maximumTokens) {
        ProgramState state = programs.get(program);
        return state != null && state.allotment.hasHeadroom(budget, maximumTokens);
    }

    /** The exhausted verdict, if what this VM has read makes it certain: allotments of other VMs never shrink. */
    Optional<Verdict.Exhausted> knownExhausted(String program, long budget, long maximumTokens) {
        ProgramState state = programs.get(program);
        if (state == null || !state.allotment.known() || state.allotment.covers(maximumTokens, clock.wallMillis())) {
            return Optional.empty();
        }
        if (state.allotment.nextAllotment(budget, maximumTokens).isPresent()) {
            return Optional.empty();
        }
        return Optional.of(new Verdict.Exhausted(state.allotment.allotted(), state.allotment.others()));
    }

    /**
     * Reserves tokens for a turn.
     *
     * @param neededMillis time from now for which the records of the program's tokens must be kept
     * @param retryUntilMillis time until which failed store calls are retried
     */
    void reserve(
            String program,
            long budget,
            long maximumTokens,
            long neededMillis,
            long retryUntilMillis,
            Consumer<Verdict> listener) {
        ProgramState state = stateOf(program);
        if (state.allotment.covers(maximumTokens, clock.wallMillis() + neededMillis)) {
            state.allotment.reserve(maximumTokens);
            listener.accept(new Verdict.Granted());
            return;
        }
        Optional<Verdict.Exhausted> exhausted = knownExhausted(program, budget, maximumTokens);
        if (exhausted.isPresent()) {
            keepRecords(program, neededMillis);
            listener.accept(exhausted.get());
            return;
        }
        MapShard key = Shards.ofProgram(program);
        Shard shard = shards.computeIfAbsent(key, ignored -> new Shard());
        Pending pending = new Pending(
                program,
                budget,
                maximumTokens,
                neededMillis,
                Math.max(retryUntilMillis, clock.now() + MINIMUM_RETRY_MILLIS),
                new Backoff(program.hashCode()),
                listener);
        enqueue(shard, () -> tryGrant(key, shard, pending));
    }

    /**
     * Keeps the records of a program that was refused without an access to the store: it may come again within its
     * retention period, and its tokens must still be counted then.
     *
     * @param neededMillis time from now for which the records must be kept
     */
    void keepRecords(String program, long neededMillis) {
        ProgramState state = stateOf(program);
        if (clock.now() - state.renewedMillis < RENEWAL_MARGIN_MILLIS) {
            return;
        }
        state.renewedMillis = clock.now();
        MapShard key = Shards.ofProgram(program);
        Shard shard = shards.computeIfAbsent(key, ignored -> new Shard());
        enqueue(
                shard,
                () -> readAllotments(key, shard, program, state, read -> {
                    if (read) {
                        renew(key, shard, program, state, neededMillis);
                    } else {
                        state.renewedMillis = Long.MIN_VALUE / 2;
                        runNext(shard);
                    }
                }));
    }

    /** Renews the records of a program without a change of tokens, and continues with the next task of the shard. */
    private void renew(MapShard key, Shard shard, String program, ProgramState state, long neededMillis) {
        List<AllotmentRecords.Allotment> renewals = renewals(state, neededMillis);
        state.renewedMillis = clock.now();
        if (renewals.isEmpty()) {
            runNext(shard);
            return;
        }
        store.append(key, entries(program, renewals), OptionalLong.of(shard.end), answer -> {
            if (answer instanceof AppendAnswer.Appended appended) {
                shard.end = appended.end();
                renewals.forEach(state.records::put);
            } else {
                shard.epoch++;
                state.renewedMillis = Long.MIN_VALUE / 2;
            }
            runNext(shard);
        });
    }

    /** The records that would expire within the renewal margin after the needed time, with their new expiry. */
    private List<AllotmentRecords.Allotment> renewals(ProgramState state, long neededMillis) {
        long neededUntilMillis = clock.wallMillis() + neededMillis + RENEWAL_MARGIN_MILLIS;
        return state.records.renewals(neededUntilMillis, neededUntilMillis + RENEWAL_MARGIN_MILLIS);
    }

    private void enqueue(Shard shard, Runnable task) {
        shard.tasks.addLast(task);
        if (!shard.busy) {
            runNext(shard);
        }
    }

    /** Ends a reservation; tokens that the turn did not deliver become available to later turns at this VM. */
    void release(String program, long maximumTokens, long handedOut) {
        ProgramState state = programs.get(program);
        if (state != null) {
            state.allotment.release(maximumTokens, handedOut);
        }
    }

    private static List<MapEntry> entries(String program, List<AllotmentRecords.Allotment> allotments) {
        return allotments.stream()
                .map(each -> MapEntry.of(
                        RecordNames.of(program) + SEPARATOR + each.holder(),
                        StoredRecords.encode(new StoredRecords.Allotment(each.tokens(), each.expiresMillis()))))
                .toList();
    }

    private void runNext(Shard shard) {
        Runnable task = shard.tasks.pollFirst();
        shard.busy = task != null;
        if (task != null) {
            task.run();
        }
    }

    private void complete(Shard shard, Pending pending, Verdict verdict) {
        pending.listener().accept(verdict);
        runNext(shard);
    }

    private void tryGrant(MapShard key, Shard shard, Pending pending) {
        ProgramState state = stateOf(pending.program());
        long neededUntilMillis = clock.wallMillis() + pending.neededMillis();
        if (state.allotment.covers(pending.maximumTokens(), neededUntilMillis)) {
            state.allotment.reserve(pending.maximumTokens());
            complete(shard, pending, new Verdict.Granted());
            return;
        }
        if (clock.now() >= pending.retryUntilMillis() || isolated.getAsBoolean()) {
            complete(shard, pending, new Verdict.Unavailable("no grant in time"));
            return;
        }
        if (!state.isRead(shard)) {
            readAllotments(key, shard, pending.program(), state, read -> {
                if (read) {
                    tryGrant(key, shard, pending);
                } else {
                    retryLater(key, shard, pending);
                }
            });
            return;
        }
        state.allotment.discardReceivedBefore(neededUntilMillis);
        OptionalLong newAllotment = state.allotment.nextAllotment(pending.budget(), pending.maximumTokens());
        if (newAllotment.isEmpty()) {
            onExhausted.onExhausted(pending.program(), state.allotment.allotted() + state.allotment.others());
            pending.listener().accept(new Verdict.Exhausted(state.allotment.allotted(), state.allotment.others()));
            renew(key, shard, pending.program(), state, pending.neededMillis());
            return;
        }
        raiseAllotment(key, shard, pending, state, newAllotment.getAsLong());
    }

    private void retryLater(MapShard key, Shard shard, Pending pending) {
        executor.schedule(
                () -> tryGrant(key, shard, pending), pending.backoff().nextDelayMillis(), TimeUnit.MILLISECONDS);
    }

    private void readAllotments(
            MapShard key, Shard shard, String program, ProgramState state, Consumer<Boolean> listener) {
        String prefix = RecordNames.of(program) + SEPARATOR;
        store.range(key, prefix, answer -> {
            if (!(answer instanceof RangeAnswer.Page page)) {
                listener.accept(false);
                return;
            }
            if (page.end() != shard.end) {
                // Other VMs appended since the shard was last read, so the state of its other programs is out of date.
                shard.end = page.end();
                shard.epoch++;
            }
            applyEntries(state, prefix, page.entries());
            state.readEpoch = shard.epoch;
            listener.accept(true);
        });
    }

    private void applyEntries(ProgramState state, String prefix, List<MapEntry> entries) {
        List<AllotmentRecords.Allotment> found = new ArrayList<>();
        long nowMillis = clock.wallMillis();
        for (MapEntry entry : entries) {
            if (!entry.key().startsWith(prefix)) {
                break;
            }
            entry.value().flatMap(StoredRecords::allotment).ifPresent(stored -> {
                String vm = entry.key().substring(prefix.length());
                if (stored.expiresMillis() >= nowMillis - EXPIRY_MARGIN_MILLIS) {
                    found.add(new AllotmentRecords.Allotment(vm, stored.tokens(), stored.expiresMillis()));
                } else {
                    logExpired(entry.key(), stored, nowMillis);
                }
            });
        }
        state.records.read(found);
        AllotmentRecords.Allotment own = state.records.of(holder);
        state.allotment.read(
                state.records.tokensOfOthers(holder), own.tokens(), own.expiresMillis() - RENEWAL_MARGIN_MILLIS);
    }

    private void logExpired(String key, StoredRecords.Allotment expired, long nowMillis) {
        log.write(log.event("allotment-expired")
                .put("allotment", key)
                .put("tokens", expired.tokens())
                .put("expiredMillisAgo", nowMillis - expired.expiresMillis()));
    }

    private void raiseAllotment(MapShard key, Shard shard, Pending pending, ProgramState state, long tokens) {
        long validUntilMillis = clock.wallMillis() + pending.neededMillis() + RENEWAL_MARGIN_MILLIS;
        List<AllotmentRecords.Allotment> written = new ArrayList<>(renewals(state, pending.neededMillis()));
        written.removeIf(each -> each.holder().equals(holder));
        written.add(new AllotmentRecords.Allotment(holder, tokens, validUntilMillis + RENEWAL_MARGIN_MILLIS));
        store.append(key, entries(pending.program(), written), OptionalLong.of(shard.end), answer -> {
            if (answer instanceof AppendAnswer.Appended appended) {
                shard.end = appended.end();
                written.forEach(state.records::put);
                state.renewedMillis = clock.now();
                state.allotment.granted(tokens, validUntilMillis);
                tryGrant(key, shard, pending);
                return;
            }
            shard.epoch++;
            if (answer instanceof AppendAnswer.Conflict) {
                tryGrant(key, shard, pending);
            } else {
                retryLater(key, shard, pending);
            }
        });
    }
}
