package org.quetzalshunt.core.program;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
 * One shard in one entry process: the state built from the shard's stream and, if the process is the owner, the queued
 * and running turns and calls.
 *
 * <p>Success is reported only after the record has been applied as valid. Records that a former owner submits after its
 * epoch ended are void, and their callers get an unknown outcome.
 */
public final class Shard implements LogFold {
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long NO_EPOCH = -1;

    private final int number;
    private final VmId self;
    private final ShardSettings settings;
    private final ShardRecordCodec codec;
    private final RecordSubmitter submitter;
    private final ShardListener listener;
    private final ShardRebuild rebuild;
    private final TurnScheduler turns;
    private final CallCoordinator calls;
    private final Set<String> endingPrograms = new HashSet<>();
    private ShardState state;
    private long nextOffset;
    private long ownedEpoch = NO_EPOCH;
    private long lastSweepMillis;

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
        this.rebuild = new ShardRebuild(settings.resultRetentionMillis());
        this.state = new ShardState(settings.resultRetentionMillis());
        this.turns = new TurnScheduler(() -> state, this::submit, this::isOwned, listener);
        this.calls = new CallCoordinator(() -> state, this::submit, listener);
    }

    /** Creates a shard that has not applied any record. */
    public static Shard create(
            int number,
            VmId self,
            ShardSettings settings,
            ShardRecordCodec codec,
            RecordSubmitter submitter,
            ShardListener listener) {
        return new Shard(number, self, settings, codec, submitter, listener);
    }

    /** Tokens that are reserved for a turn unless it needs more. */
    public static long defaultReservationTokens(ServiceLimits limits) {
        return TurnPlanner.defaultReservationTokens(limits);
    }

    /** Number of the shard, from 0. */
    public int number() {
        return number;
    }

    /** Current epoch as of the last applied record; 0 before the first claim. */
    public long epoch() {
        return state.epoch();
    }

    /** Owner as of the last applied record. */
    public Optional<VmId> owner() {
        return state.owner();
    }

    /** Whether this process is the owner as of the last applied record. */
    public boolean isOwned() {
        return state.owner().filter(self::equals).isPresent();
    }

    /** Number of void records that were skipped. */
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
            rebuild.addCheckpointPart(offset, checkpoint).ifPresent(this::replaceState);
            return;
        }
        if (record instanceof ShardRecord.Claim claim && claim.basedOnEpoch() == emptyStreamBase(offset)) {
            replaceState(new ShardState(settings.resultRetentionMillis()));
            applyRecord(offset, new ShardRecord.Claim(0, claim.vm(), claim.incarnation(), false));
            return;
        }
        if (rebuild.isActive()) {
            rebuild.buffer(offset, record, bytes.length);
            return;
        }
        applyRecord(offset, record);
    }

    private void applyRecord(long offset, ShardRecord record) {
        boolean valid = state.apply(offset, record);
        if (valid && record instanceof ShardRecord.Claim) {
            updateOwnership();
        }
        if (valid && record instanceof ShardRecord.ProgramEnded ended) {
            listener.onProgramEnded(ended.program());
        }
    }

    private void replaceState(ShardState newState) {
        rebuild.end();
        state = newState;
        updateOwnership();
    }

    @Override
    public void onGap(long firstKept) {
        state = new ShardState(settings.resultRetentionMillis());
        rebuild.begin(firstKept);
        nextOffset = firstKept;
        updateOwnership();
    }

    @Override
    public void onAppliedBelow(long position) {
        nextOffset = position;
    }

    /** Whether the state reflects every record of the stream. If not, no decision may be based on it. */
    public boolean isComplete() {
        return !rebuild.isActive();
    }

    /** Offset below which the newest complete checkpoint covers the stream; -1 if none was seen. */
    public long checkpointCoversBelow() {
        return rebuild.newestCoversBelow();
    }

    /**
     * The state as checkpoint records for the stream; none while the state is not complete.
     *
     * @param maximumPartBytes maximum bytes of state in one part
     */
    public List<byte[]> checkpointRecords(int maximumPartBytes) {
        if (!isComplete()) {
            return List.of();
        }
        List<byte[]> parts = CheckpointParts.split(ShardCheckpointCodec.encode(state), maximumPartBytes);
        List<byte[]> records = new ArrayList<>(parts.size());
        for (int part = 0; part < parts.size(); part++) {
            records.add(codec.encode(
                    new ShardRecord.Checkpoint(state.epoch(), nextOffset, part, parts.size(), parts.get(part))));
        }
        return records;
    }

    /**
     * Base epoch of a claim on a stream whose records have all expired, so that the current epoch is unknown. A live
     * owner publishes checkpoints, so an empty stream means that there was no owner during the whole retention period.
     * The negative value encodes an offset, and the claim is valid only at that offset: no record can have come before
     * it.
     */
    private static long emptyStreamBase(long offset) {
        return -1 - offset;
    }

    /** Claims the shard, based on the current epoch. The callback gets whether this process is now the owner. */
    public void claim(Consumer<Boolean> whenDecided) {
        boolean streamEmpty = rebuild.isActive() && nextOffset == rebuild.gapEnd();
        if (rebuild.isActive() && !streamEmpty) {
            whenDecided.accept(false);
            return;
        }
        long base = streamEmpty ? emptyStreamBase(nextOffset) : state.epoch();
        ShardRecord.Claim claim = new ShardRecord.Claim(base, self.name(), self.incarnation(), false);
        submitter.submit(codec.encode(claim), folded -> whenDecided.accept(isOwned()));
    }

    /**
     * Releases the shard before a planned stop or in favour of a better placed entry process. Call it only when the
     * shard is not busy. The callback gets whether this process is no longer the owner.
     */
    public void release(Consumer<Boolean> whenDecided) {
        ShardRecord.Claim claim = new ShardRecord.Claim(state.epoch(), self.name(), self.incarnation(), true);
        submitter.submit(codec.encode(claim), folded -> whenDecided.accept(!isOwned()));
    }

    /** Whether turns or calls are queued or running in this process. */
    public boolean isBusy() {
        return !calls.isEmpty() || !turns.isEmpty();
    }

    /** Creates a program. The callback runs once it is durable. A repeated request gets the existing program. */
    public void createProgram(ShardRecord.ProgramCreated requested, Consumer<Outcome<ProgramView>> whenDone) {
        Optional<Program> existing = state.program(requested.program());
        if (existing.isPresent()) {
            whenDone.accept(existingProgram(existing.get(), requested.clientAccount()));
            return;
        }
        Optional<Refusal> refusal = parentRefusal(requested);
        if (refusal.isPresent()) {
            whenDone.accept(Outcome.failure(refusal.get()));
            return;
        }
        submit(requested, folded -> whenDone.accept(creationOutcome(requested)));
    }

    private Outcome<ProgramView> creationOutcome(ShardRecord.ProgramCreated requested) {
        Optional<Program> created = state.program(requested.program());
        if (created.isEmpty()) {
            return Outcome.failure(Refusal.notRunRetryAfter(
                    ResultCode.NOT_OWNER,
                    "the program was not recorded; the shard may have another owner",
                    RETRY_AFTER_MILLIS));
        }
        return existingProgram(created.get(), requested.clientAccount());
    }

    private Outcome<ProgramView> existingProgram(Program program, String clientAccount) {
        if (!program.clientAccount.equals(clientAccount)) {
            return Outcome.failure(Refusal.notRun(ResultCode.UNKNOWN_PROGRAM, program.id));
        }
        return Outcome.success(view(program));
    }

    private Optional<Refusal> parentRefusal(ShardRecord.ProgramCreated requested) {
        if (requested.parent().isEmpty()) {
            return Optional.empty();
        }
        Optional<Program> parent = state.program(requested.parent().get());
        if (parent.isEmpty() || !parent.get().clientAccount.equals(requested.clientAccount())) {
            return Optional.of(Refusal.notRun(
                    ResultCode.UNKNOWN_PROGRAM, requested.parent().get()));
        }
        if (parent.get().isEnded()) {
            return Optional.of(
                    Refusal.notRun(ResultCode.PROGRAM_ENDED, requested.parent().get()));
        }
        return Optional.empty();
    }

    /** Finds a program of a client account. */
    public Optional<ProgramView> find(String program, String clientAccount) {
        return state.program(program)
                .filter(found -> found.clientAccount.equals(clientAccount))
                .map(this::view);
    }

    /** Ends a program and, if it is a root, its sub-agents. The callback gets whether the program has ended. */
    public void endProgram(long nowMillis, String program, ResultCode code, Consumer<Boolean> whenDone) {
        endingPrograms.add(program);
        ShardRecord.ProgramEnded ended = new ShardRecord.ProgramEnded(state.epoch(), program, code.number(), nowMillis);
        submit(ended, folded -> {
            endingPrograms.remove(program);
            whenDone.accept(state.program(program).filter(Program::isEnded).isPresent());
        });
    }

    /**
     * Submits a request for a turn. The host must register the request id first, since {@link
     * ShardListener#onTurnStart} may be called before this method returns.
     */
    public AdmissionDecision offerTurn(long nowMillis, TurnRequest request) {
        return turns.offer(nowMillis, request);
    }

    /** Records the result of a turn. The callback gets whether the turn is now a durable part of the program. */
    public void endTurn(long nowMillis, TurnStart start, TurnResult result, Consumer<Boolean> whenDurable) {
        turns.end(nowMillis, start, result, whenDurable);
    }

    /**
     * Charges an attempt that ran but returned no result. The callback gets, once the charge is durable, whether the
     * budget covers another attempt of the turn.
     */
    public void chargeFailedAttempt(TurnStart start, Consumer<Boolean> whenCharged) {
        turns.chargeFailedAttempt(start, whenCharged);
    }

    /** Ends a turn without a result and without a further charge. */
    public void failTurn(long nowMillis, TurnStart start) {
        turns.finish(nowMillis, start);
    }

    /** Removes a waiting turn from its queue; false if the turn is running or unknown. */
    public boolean cancelWaitingTurn(String program, String requestId) {
        return turns.withdraw(program, requestId);
    }

    /** Submits a call that must run at most once. It starts once its intent has been applied as valid. */
    public AdmissionDecision offerCall(long nowMillis, CallRequest call) {
        return calls.offer(nowMillis, call);
    }

    /** Cancels a call that has not started. It will not run, and a repeated request may run. */
    public void cancelCall(CallRequest call) {
        calls.withdraw(call);
    }

    /** Records the outcome of a call. The callback gets whether the result is stored for repeated requests. */
    public void endCall(
            long nowMillis, CallRequest call, ResultCode code, StoredAnswer answer, Consumer<Boolean> whenDurable) {
        calls.end(nowMillis, call, code, answer, whenDurable);
    }

    /**
     * Submits a record of the current epoch if this process is the owner. Without the check a former owner that has
     * read its successor's claim would write valid records in its successor's epoch.
     */
    private void submit(ShardRecord record, Consumer<Boolean> whenFolded) {
        if (!isOwned()) {
            whenFolded.accept(false);
            return;
        }
        submitter.submit(codec.encode(record), whenFolded);
    }

    /**
     * Refuses requests past their deadline, ends idle programs and removes expired results, once per sweep interval.
     */
    public void tick(long nowMillis) {
        if (nowMillis - lastSweepMillis < settings.sweepMillis()) {
            return;
        }
        lastSweepMillis = nowMillis;
        turns.refuseExpired(nowMillis);
        if (isOwned()) {
            endIdlePrograms(nowMillis);
        }
        state.sweep();
    }

    private void endIdlePrograms(long nowMillis) {
        // A root that waits for its sub-agents is active with them, since its end would end them, too.
        Map<String, Long> lastActiveOfRoots = new HashMap<>();
        state.programs().forEach(program -> {
            boolean runsTurn = !program.isEnded() && turns.find(program.id).isPresent();
            long lastActive = runsTurn ? nowMillis : program.lastActiveMillis;
            lastActiveOfRoots.merge(ShardNumbers.root(program.id), lastActive, Math::max);
        });
        state.programs().stream()
                .filter(program -> !program.isEnded() && turns.find(program.id).isEmpty())
                // Submitted once per program: during a log outage, repeats would fill the backlog needed for turns.
                .filter(program -> !endingPrograms.contains(program.id))
                .filter(program ->
                        lastActiveMillis(program, lastActiveOfRoots) + settings.programIdleMillis() < nowMillis)
                .map(program -> program.id)
                .toList()
                .forEach(id -> endProgram(nowMillis, id, ResultCode.DEADLINE_PASSED, ended -> {}));
    }

    private static long lastActiveMillis(Program program, Map<String, Long> lastActiveOfRoots) {
        return program.isRoot() ? lastActiveOfRoots.get(program.id) : program.lastActiveMillis;
    }

    /** All programs, sorted by id. */
    public List<ProgramView> programs() {
        return state.programs().stream()
                .map(this::view)
                .sorted(Comparator.comparing(ProgramView::id))
                .toList();
    }

    /** Reports gauges: programs, bytes of history, stored results and budget overruns. */
    public void reportGauges(BiConsumer<String, Long> gauge) {
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

    /** Drops running turns and calls when their epoch has ended, even if this process is also the next owner. */
    private void updateOwnership() {
        long epoch = isOwned() ? state.epoch() : NO_EPOCH;
        if (ownedEpoch != NO_EPOCH && ownedEpoch != epoch) {
            turns.clear();
            calls.clear();
            endingPrograms.clear();
            listener.onOwnershipLost(number);
        }
        ownedEpoch = epoch;
    }
}
