package org.quetzalshunt.core.program;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.quetzalshunt.core.document.ServiceLimits;
import org.quetzalshunt.core.log.CheckpointParts;
import org.quetzalshunt.core.log.LogFold;
import org.quetzalshunt.core.result.Outcome;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.vm.VmId;

/**
 * One shard at one entry: the fold of its stream, and at its owner the turns and calls under way.
 *
 * <p>Nothing is told as done before its record is folded as valid. What a former owner submits after its epoch ended
 * folds as void, and its callers hear that the outcome is unknown.
 */
public final class Shard implements LogFold {
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long NOT_OWNED = -1;

    private final int number;
    private final VmId self;
    private final ShardSettings settings;
    private final ShardRecordCodec codec;
    private final RecordSubmitter submitter;
    private final ShardListener listener;
    private final ShardRebuild rebuild;
    private final TurnSystem turns;
    private final CallSystem calls;
    private final Set<String> ending = new HashSet<>();
    private ShardState state;
    private long next;
    private long ownedEpoch = NOT_OWNED;
    private long sweptMillis;

    private Shard(
            int number,
            VmId self,
            ShardSettings settings,
            ShardRecordCodec codec,
            RecordSubmitter submitter,
            ShardListener listener) {
        this.number = number;
        this.self = self;
        this.settings = settings;
        this.codec = codec;
        this.submitter = submitter;
        this.listener = listener;
        this.rebuild = new ShardRebuild(settings.resultMillis());
        this.state = new ShardState(settings.resultMillis());
        this.turns = new TurnSystem(() -> state, this::submit, this::isOwned, listener);
        this.calls = new CallSystem(() -> state, this::submit, listener);
    }

    /** Makes a shard that has folded nothing yet. */
    public static Shard create(
            int number,
            VmId self,
            ShardSettings settings,
            ShardRecordCodec codec,
            RecordSubmitter submitter,
            ShardListener listener) {
        return new Shard(number, self, settings, codec, submitter, listener);
    }

    /** Tokens that a new program reserves for its first turn. */
    public static long usualReservation(ServiceLimits limits) {
        return TurnPlanner.usualReservation(limits);
    }

    /** Number of the shard, from 0. */
    public int number() {
        return number;
    }

    /** Epoch in force as far as the stream was read; 0 before the first claim. */
    public long epoch() {
        return state.epoch();
    }

    /** Owner as far as the stream was read. */
    public Optional<VmId> owner() {
        return state.owner();
    }

    /** Whether this process owns the shard, as far as the stream was read. */
    public boolean isOwned() {
        return state.owner().filter(self::equals).isPresent();
    }

    /** Records that were void where they stood. */
    public long voidRecords() {
        return state.voidRecords();
    }

    @Override
    public void apply(long offset, byte[] bytes, int indexInBatch) {
        Optional<ShardRecord> decoded = codec.decode(bytes);
        if (decoded.isEmpty()) {
            return;
        }
        ShardRecord record = decoded.get();
        if (record instanceof ShardRecord.Checkpoint checkpoint) {
            rebuild.take(offset, checkpoint).ifPresent(this::restore);
            return;
        }
        if (record instanceof ShardRecord.Claim claim && claim.basedOnEpoch() == nothingKeptAt(offset)) {
            restore(new ShardState(settings.resultMillis()));
            applyWhole(offset, new ShardRecord.Claim(0, claim.vm(), claim.incarnation(), false));
            return;
        }
        if (rebuild.isActive()) {
            rebuild.hold(offset, record, bytes.length);
            return;
        }
        applyWhole(offset, record);
    }

    private void applyWhole(long offset, ShardRecord record) {
        boolean valid = state.apply(offset, record);
        if (valid && record instanceof ShardRecord.Claim) {
            ownershipChanged();
        }
        if (valid && record instanceof ShardRecord.ProgramEnded ended) {
            listener.onProgramEnded(ended.program());
        }
    }

    private void restore(ShardState restored) {
        rebuild.end();
        state = restored;
        ownershipChanged();
    }

    @Override
    public void gap(long firstKept) {
        state = new ShardState(settings.resultMillis());
        rebuild.begin(firstKept);
        next = firstKept;
        ownershipChanged();
    }

    @Override
    public void foldedBelow(long position) {
        next = position;
    }

    /** Whether the state is that of a reader that saw every record; otherwise nothing may be decided on it. */
    public boolean complete() {
        return !rebuild.isActive();
    }

    /** Offset below which the newest whole checkpoint covers the stream; -1 when none was seen. */
    public long checkpointCoversBelow() {
        return rebuild.newestCoversBelow();
    }

    /**
     * The state as records for the stream; none while it is not complete.
     *
     * @param maximumPartBytes largest part, in octets of state
     */
    public List<byte[]> checkpointRecords(int maximumPartBytes) {
        if (!complete()) {
            return List.of();
        }
        List<byte[]> parts = CheckpointParts.cut(ShardCheckpointForm.encode(state), maximumPartBytes);
        List<byte[]> records = new ArrayList<>(parts.size());
        for (int part = 0; part < parts.size(); part++) {
            records.add(
                    codec.encode(new ShardRecord.Checkpoint(state.epoch(), next, part, parts.size(), parts.get(part))));
        }
        return records;
    }

    /**
     * Base of a claim on a stream of which the log keeps nothing: all that it said has expired, and so has the epoch on
     * which a claim would be based. An owner alive re-publishes its state, so nothing kept means that none was alive for
     * as long as the log keeps records. The claim counts only at the very offset it names, so that no record can have
     * come between.
     */
    private static long nothingKeptAt(long offset) {
        return -1 - offset;
    }

    /** Claims the shard, based on the epoch folded so far; the callback hears whether the claim won. */
    public void claim(Consumer<Boolean> whenDecided) {
        boolean nothingKept = rebuild.isActive() && next == rebuild.gapEnd();
        if (rebuild.isActive() && !nothingKept) {
            whenDecided.accept(false);
            return;
        }
        long base = nothingKept ? nothingKeptAt(next) : state.epoch();
        ShardRecord.Claim claim = new ShardRecord.Claim(base, self.name(), self.incarnation(), false);
        submitter.submit(codec.encode(claim), folded -> whenDecided.accept(isOwned()));
    }

    /** Gives the shard up, for a planned stop or a better placed entry. Only when nothing is under way. */
    public void release(Consumer<Boolean> whenDecided) {
        ShardRecord.Claim claim = new ShardRecord.Claim(state.epoch(), self.name(), self.incarnation(), true);
        submitter.submit(codec.encode(claim), folded -> whenDecided.accept(!isOwned()));
    }

    /** Whether turns or calls wait or run here. */
    public boolean isBusy() {
        return !calls.isEmpty() || !turns.isEmpty();
    }

    /** Makes a program; the callback hears once it is durable. A re-send of the same request finds it made. */
    public void createProgram(ShardRecord.ProgramCreated wanted, Consumer<Outcome<ProgramView>> whenDone) {
        Optional<Program> existing = state.program(wanted.program());
        if (existing.isPresent()) {
            whenDone.accept(existingProgram(existing.get(), wanted.clientAccount()));
            return;
        }
        Optional<Refusal> refusal = parentRefusal(wanted);
        if (refusal.isPresent()) {
            whenDone.accept(Outcome.failure(refusal.get()));
            return;
        }
        submit(wanted, folded -> whenDone.accept(created(wanted)));
    }

    private Outcome<ProgramView> created(ShardRecord.ProgramCreated wanted) {
        Optional<Program> made = state.program(wanted.program());
        if (made.isEmpty()) {
            return Outcome.failure(Refusal.notRunRetryAfter(
                    ResultCode.NOT_OWNER, "the shard passed to another owner", RETRY_AFTER_MILLIS));
        }
        return existingProgram(made.get(), wanted.clientAccount());
    }

    private Outcome<ProgramView> existingProgram(Program program, String clientAccount) {
        if (!program.clientAccount.equals(clientAccount)) {
            return Outcome.failure(Refusal.notRun(ResultCode.UNKNOWN_PROGRAM, program.id));
        }
        return Outcome.success(view(program));
    }

    private Optional<Refusal> parentRefusal(ShardRecord.ProgramCreated wanted) {
        if (wanted.parent().isEmpty()) {
            return Optional.empty();
        }
        Optional<Program> parent = state.program(wanted.parent().get());
        if (parent.isEmpty() || !parent.get().clientAccount.equals(wanted.clientAccount())) {
            return Optional.of(
                    Refusal.notRun(ResultCode.UNKNOWN_PROGRAM, wanted.parent().get()));
        }
        if (parent.get().isEnded()) {
            return Optional.of(
                    Refusal.notRun(ResultCode.PROGRAM_ENDED, wanted.parent().get()));
        }
        return Optional.empty();
    }

    /** What may be told of a program to its account. */
    public Optional<ProgramView> find(String program, String clientAccount) {
        return state.program(program)
                .filter(found -> found.clientAccount.equals(clientAccount))
                .map(this::view);
    }

    /** Ends a program and its sub-agents; the callback hears once it is durable. */
    public void endProgram(long nowMillis, String program, ResultCode code, Consumer<Boolean> whenDone) {
        ending.add(program);
        ShardRecord.ProgramEnded ended = new ShardRecord.ProgramEnded(state.epoch(), program, code.number(), nowMillis);
        submit(ended, folded -> {
            ending.remove(program);
            whenDone.accept(state.program(program).filter(Program::isEnded).isPresent());
        });
    }

    /** Takes a request for a turn. The host must know the request id before, since it may start at once. */
    public Admission offerTurn(long nowMillis, TurnRequest request) {
        return turns.offer(nowMillis, request);
    }

    /** Records the end of a turn; the callback hears whether it became part of the program. */
    public void endTurn(long nowMillis, TurnStart start, TurnResult result, Consumer<Boolean> whenDurable) {
        turns.end(nowMillis, start, result, whenDurable);
    }

    /**
     * Charges an attempt that ran and gave nothing. The callback hears, once the charge is durable, whether the budget
     * covers one more attempt of the turn.
     */
    public void chargeLostAttempt(TurnStart start, Consumer<Boolean> whenCharged) {
        turns.chargeLostAttempt(start, whenCharged);
    }

    /** Ends a turn that gave nothing and costs nothing more than was charged before. */
    public void failTurn(long nowMillis, TurnStart start) {
        turns.close(nowMillis, start);
    }

    /** Gives up a turn that still waits; false when it runs or is not known. */
    public boolean withdrawTurn(String program, String requestId) {
        return turns.withdraw(program, requestId);
    }

    /** Takes a call that must run at most once; it starts when its intent is folded as valid. */
    public Admission offerCall(long nowMillis, CallRequest call) {
        return calls.offer(nowMillis, call);
    }

    /** Gives up a call that has not started; it certainly does not run, and a re-send may. */
    public void withdrawCall(CallRequest call) {
        calls.withdraw(call);
    }

    /** Records the outcome of a call; the callback hears whether it is kept for re-sends. */
    public void endCall(
            long nowMillis, CallRequest call, ResultCode code, StoredAnswer answer, Consumer<Boolean> whenDurable) {
        calls.end(nowMillis, call, code, answer, whenDurable);
    }

    /**
     * Submits a record of the epoch in force, if it is this process's. Without the check a former owner that has read
     * the claim of its successor would write records of the successor's epoch, and they would be valid.
     */
    private void submit(ShardRecord record, Consumer<Boolean> whenFolded) {
        if (!isOwned()) {
            whenFolded.accept(false);
            return;
        }
        submitter.submit(codec.encode(record), whenFolded);
    }

    /** Sweeps: requests past their deadline, programs idle for too long, results past their time. */
    public void tick(long nowMillis) {
        if (nowMillis - sweptMillis < settings.sweepMillis()) {
            return;
        }
        sweptMillis = nowMillis;
        turns.expire(nowMillis);
        if (isOwned()) {
            endIdlePrograms(nowMillis);
        }
        state.sweep();
    }

    private void endIdlePrograms(long nowMillis) {
        state.programs().stream()
                .filter(program -> !program.isEnded() && turns.find(program.id).isEmpty())
                // One record each, however long the log is down: the backlog is for turns.
                .filter(program -> !ending.contains(program.id))
                .filter(program -> program.lastActiveMillis + settings.programIdleMillis() < nowMillis)
                .map(program -> program.id)
                .toList()
                .forEach(id -> endProgram(nowMillis, id, ResultCode.DEADLINE_PASSED, ended -> {}));
    }

    /** Programs by id, for lists that operators page through. */
    public List<ProgramView> programs() {
        return state.programs().stream()
                .map(this::view)
                .sorted(Comparator.comparing(ProgramView::id))
                .toList();
    }

    /** Counts for metrics: programs, octets of history, results kept. */
    public void measure(BiConsumer<String, Long> gauge) {
        gauge.accept("programs", (long) state.programs().size());
        gauge.accept(
                "historyBytes",
                state.programs().stream()
                        .mapToLong(program -> program.history.bytes())
                        .sum());
        gauge.accept("results", (long) state.results().size());
        gauge.accept("overspends", state.overspends());
    }

    private ProgramView view(Program program) {
        Optional<TurnQueue> queue = turns.find(program.id);
        return new ProgramView(
                program.id,
                program.clientAccount,
                program.parent,
                program.budgetTokens,
                program.spentTokens,
                program.turns,
                queue.map(found -> found.waiting().size()).orElse(0),
                queue.flatMap(TurnQueue::running).isPresent(),
                program.endedCode,
                program.lastActiveMillis);
    }

    /** What runs under an epoch is lost with it, also when this process is the next owner itself. */
    private void ownershipChanged() {
        long epoch = isOwned() ? state.epoch() : NOT_OWNED;
        if (ownedEpoch != NOT_OWNED && ownedEpoch != epoch) {
            turns.clear();
            calls.clear();
            ending.clear();
            listener.onOwnershipLost(number);
        }
        ownedEpoch = epoch;
    }
}
