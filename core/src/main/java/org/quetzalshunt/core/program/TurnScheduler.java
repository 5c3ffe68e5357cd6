package org.quetzalshunt.core.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.agrona.collections.Object2ObjectHashMap;
import org.quetzalshunt.core.result.Outcome;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;

/**
 * Runs the turns of a shard's programs at its owner, one turn per program at a time. Other turns wait in order of
 * arrival. The state comes from a supplier because applying a checkpoint replaces the {@link ShardState} object.
 */
final class TurnScheduler {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Supplier<ShardState> state;
    private final BiConsumer<ShardRecord, Consumer<Boolean>> submitter;
    private final BooleanSupplier isOwner;
    private final ShardListener listener;
    private final Map<String, TurnQueue> queues = new Object2ObjectHashMap<>();

    TurnScheduler(
            Supplier<ShardState> state,
            BiConsumer<ShardRecord, Consumer<Boolean>> submitter,
            BooleanSupplier isOwner,
            ShardListener listener) {
        this.state = state;
        this.submitter = submitter;
        this.isOwner = isOwner;
        this.listener = listener;
    }

    boolean isEmpty() {
        return queues.values().stream().allMatch(TurnQueue::isIdle);
    }

    Optional<TurnQueue> find(String program) {
        return Optional.ofNullable(queues.get(program));
    }

    void clear() {
        queues.clear();
    }

    AdmissionDecision offer(long nowMillis, TurnRequest request) {
        Optional<AdmissionDecision> known = findDuplicate(request);
        if (known.isPresent()) {
            return known.get();
        }
        Optional<Refusal> refusal = refusalOf(request);
        if (refusal.isPresent()) {
            return new AdmissionDecision.Refused(refusal.get());
        }
        queue(request.program()).waiting().add(request);
        startNext(nowMillis, request.program());
        return new AdmissionDecision.Accepted();
    }

    private Optional<AdmissionDecision> findDuplicate(TurnRequest request) {
        if (request.idempotencyKey().isEmpty()) {
            return Optional.empty();
        }
        String key = request.idempotencyKey().get();
        Optional<StoredResult> result = state.get().results().find(request.clientAccount(), key);
        if (result.isPresent()) {
            return Optional.of(IdempotencyCheck.againstStoredResult(result.get(), request.digest()));
        }
        TurnQueue queue = queues.get(request.program());
        return Optional.ofNullable(queue)
                .flatMap(found -> found.find(key))
                .filter(other -> other.clientAccount().equals(request.clientAccount()))
                .map(other ->
                        IdempotencyCheck.againstActiveRequest(other.requestId(), other.digest(), request.digest()));
    }

    private Optional<Refusal> refusalOf(TurnRequest request) {
        Optional<Program> program = state.get().program(request.program());
        if (request.implicitProgram()) {
            return Optional.empty();
        }
        if (program.isEmpty() || !program.get().clientAccount.equals(request.clientAccount())) {
            return Optional.of(Refusal.notRun(ResultCode.UNKNOWN_PROGRAM, request.program()));
        }
        int ended = program.get().turns;
        if (request.turn().isPresent()
                && (request.turn().getAsInt() <= ended
                        || request.turn().getAsInt() > ended + TurnQueue.MAXIMUM_WAITING_TURNS)) {
            return Optional.of(Refusal.notRun(ResultCode.TURN_OUT_OF_ORDER, "the next turn is " + (ended + 1)));
        }
        TurnQueue queue = queue(request.program());
        if (queue.waiting().size() >= TurnQueue.MAXIMUM_WAITING_TURNS) {
            return Optional.of(Refusal.notRunRetryAfter(
                    ResultCode.QUEUE_FULL, "the program has too many waiting turns", RETRY_AFTER_MILLIS));
        }
        return Optional.empty();
    }

    private TurnQueue queue(String program) {
        return queues.computeIfAbsent(program, ignored -> new TurnQueue());
    }

    private boolean isRunning(TurnStart start) {
        return Optional.ofNullable(queues.get(start.request().program()))
                .flatMap(TurnQueue::running)
                .filter(running -> isSameRequest(running, start))
                .isPresent();
    }

    private static boolean isSameRequest(TurnStart one, TurnStart other) {
        return one.request().requestId().equals(other.request().requestId());
    }

    /** Starts the program's next turn if none is running. */
    private void startNext(long nowMillis, String id) {
        TurnQueue queue = queue(id);
        while (queue.running().isEmpty()) {
            int nextTurn =
                    state.get().program(id).map(program -> program.turns + 1).orElse(1);
            Optional<TurnRequest> next = queue.pollNext(nextTurn);
            if (next.isEmpty()) {
                break;
            }
            start(nowMillis, queue, next.get());
        }
        if (queue.isIdle()) {
            queues.remove(id);
        }
    }

    private void start(long nowMillis, TurnQueue queue, TurnRequest request) {
        Program program = state.get().program(request.program()).orElseGet(() -> implicitProgram(nowMillis, request));
        Program budgetRoot = state.get().budgetRoot(program);
        Outcome<TurnStart> planned = TurnPlanner.plan(program, budgetRoot, request);
        if (planned instanceof Outcome.Failure<TurnStart> failure) {
            listener.onRefused(request.requestId(), failure.refusal());
            return;
        }
        TurnStart start = planned.toOptional().orElseThrow();
        queue.setRunning(start);
        reserve(program, budgetRoot, start.reservationTokens());
        if (request.implicitProgram() || start.reservationTokens() <= program.recordedReservationTokens) {
            listener.onTurnStart(start);
            return;
        }
        ShardRecord.ReservationRaised raised =
                new ShardRecord.ReservationRaised(state.get().epoch(), program.id, start.reservationTokens());
        submitter.accept(raised, folded -> startAfterReservation(nowMillis, program, start));
    }

    private void startAfterReservation(long nowMillis, Program program, TurnStart start) {
        boolean stillRunning = isOwner.getAsBoolean()
                && program.recordedReservationTokens >= start.reservationTokens()
                && isRunning(start);
        if (stillRunning) {
            listener.onTurnStart(start);
            return;
        }
        listener.onRefused(
                start.request().requestId(),
                Refusal.notRunRetryAfter(
                        ResultCode.NOT_OWNER,
                        "the reservation was not recorded or the shard has another owner",
                        RETRY_AFTER_MILLIS));
        // If the record was rejected, for instance because the backlog is full, the shard is still owned, and the
        // program's next turn has to start.
        finish(nowMillis, start);
    }

    /** Creates the program of a request outside any program. It has one turn and is recorded when that turn ends. */
    private Program implicitProgram(long nowMillis, TurnRequest request) {
        return new Program(implicitProgramRecord(nowMillis, request));
    }

    private ShardRecord.ProgramCreated implicitProgramRecord(long nowMillis, TurnRequest request) {
        return new ShardRecord.ProgramCreated(
                state.get().epoch(),
                request.program(),
                request.clientAccount(),
                Optional.empty(),
                request.limits().programBudgetTokens(),
                0,
                nowMillis,
                true,
                request.requestId());
    }

    private void reserve(Program program, Program budgetRoot, long tokens) {
        program.activeReservationTokens += tokens;
        if (budgetRoot != program) {
            budgetRoot.activeReservationTokens += tokens;
        }
    }

    void end(long nowMillis, TurnStart start, TurnResult result, Consumer<Boolean> whenDurable) {
        // A turn started in an earlier epoch may end after this process has become the owner again. The takeover has
        // already charged the turn's reservation, so recording its tokens too could exceed the budget.
        if (!isRunning(start)) {
            whenDurable.accept(false);
            return;
        }
        TurnRequest request = start.request();
        Optional<Program> known = state.get().program(request.program());
        if (request.implicitProgram() && known.isEmpty()) {
            submitter.accept(implicitProgramRecord(nowMillis, request), folded -> {});
        }
        Program program = known.orElseGet(() -> implicitProgram(nowMillis, request));
        ShardRecord.TurnEnded ended = TurnRecords.ended(nowMillis, state.get().epoch(), program, start, result);
        submitter.accept(ended, folded -> {
            boolean kept = state.get()
                    .program(request.program())
                    .filter(found -> found.lastRequestId.equals(request.requestId()))
                    .isPresent();
            whenDurable.accept(folded && kept && isOwner.getAsBoolean());
            finish(nowMillis, start);
        });
        if (request.implicitProgram()) {
            ShardRecord.ProgramEnded end = new ShardRecord.ProgramEnded(
                    state.get().epoch(), request.program(), ResultCode.OK.number(), nowMillis);
            submitter.accept(end, folded -> {});
        }
    }

    /** Charges the reservation of a failed attempt, so that retries cannot spend more than the program's budget. */
    void chargeFailedAttempt(TurnStart start, Consumer<Boolean> whenCharged) {
        if (start.request().implicitProgram() || !isRunning(start)) {
            whenCharged.accept(start.request().implicitProgram());
            return;
        }
        ShardRecord.BudgetCharged charged = new ShardRecord.BudgetCharged(
                state.get().epoch(), start.request().program(), start.reservationTokens());
        submitter.accept(
                charged, folded -> whenCharged.accept(folded && isOwner.getAsBoolean() && isWithinBudget(start)));
    }

    private boolean isWithinBudget(TurnStart start) {
        return state.get()
                .program(start.request().program())
                .map(state.get()::budgetRoot)
                .filter(budgetRoot ->
                        budgetRoot.budgetTokens - budgetRoot.spentTokens - budgetRoot.activeReservationTokens >= 0)
                .isPresent();
    }

    /** Releases the reservation of a turn that no longer runs and starts the program's next turn. */
    void finish(long nowMillis, TurnStart start) {
        String id = start.request().program();
        if (!isRunning(start)) {
            return;
        }
        queues.get(id).clearRunning();
        if (!start.request().implicitProgram()) {
            state.get()
                    .program(id)
                    .ifPresent(
                            program -> reserve(program, state.get().budgetRoot(program), -start.reservationTokens()));
        }
        startNext(nowMillis, id);
    }

    boolean withdraw(String program, String requestId) {
        TurnQueue queue = queues.get(program);
        return queue != null
                && queue.waiting().removeIf(request -> request.requestId().equals(requestId));
    }

    /** Refuses waiting turns whose deadline has passed. */
    void refuseExpired(long nowMillis) {
        List<TurnRequest> expired = new ArrayList<>();
        queues.values().forEach(queue -> queue.waiting().removeIf(request -> {
            boolean late = request.deadlineMillis() <= nowMillis;
            if (late) {
                expired.add(request);
            }
            return late;
        }));
        queues.values().removeIf(TurnQueue::isIdle);
        expired.forEach(request -> listener.onRefused(
                request.requestId(),
                Refusal.notRun(
                        ResultCode.DEADLINE_PASSED, "the deadline passed while the turn waited on an earlier one")));
    }
}
