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
 * The turns under way at a shard's owner: one of each program runs, the others wait in the order in which they came. The
 * state is asked for anew each time, since a checkpoint puts another in its place.
 */
final class TurnSystem {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Supplier<ShardState> state;
    private final BiConsumer<ShardRecord, Consumer<Boolean>> submitter;
    private final BooleanSupplier owned;
    private final ShardListener listener;
    private final Map<String, TurnQueue> queues = new Object2ObjectHashMap<>();

    TurnSystem(
            Supplier<ShardState> state,
            BiConsumer<ShardRecord, Consumer<Boolean>> submitter,
            BooleanSupplier owned,
            ShardListener listener) {
        this.state = state;
        this.submitter = submitter;
        this.owned = owned;
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

    Admission offer(long nowMillis, TurnRequest request) {
        Optional<Admission> known = knownTurn(request);
        if (known.isPresent()) {
            return known.get();
        }
        Optional<Refusal> refusal = turnRefusal(request);
        if (refusal.isPresent()) {
            return new Admission.Refused(refusal.get());
        }
        queue(request.program()).waiting().add(request);
        startNext(nowMillis, request.program());
        return new Admission.Accepted();
    }

    private Optional<Admission> knownTurn(TurnRequest request) {
        if (request.idempotencyKey().isEmpty()) {
            return Optional.empty();
        }
        String key = request.idempotencyKey().get();
        Optional<StoredResult> result = state.get().results().find(request.clientAccount(), key);
        if (result.isPresent()) {
            return Optional.of(Calls.knownResult(result.get(), request.digest()));
        }
        TurnQueue queue = queues.get(request.program());
        return Optional.ofNullable(queue)
                .flatMap(found -> found.find(key))
                .filter(other -> other.clientAccount().equals(request.clientAccount()))
                .map(other -> Calls.sameRequest(other.requestId(), other.digest(), request.digest()));
    }

    private Optional<Refusal> turnRefusal(TurnRequest request) {
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
                        || request.turn().getAsInt() > ended + TurnQueue.MAXIMUM_WAITING)) {
            return Optional.of(Refusal.notRun(ResultCode.TURN_OUT_OF_ORDER, "the next turn is " + (ended + 1)));
        }
        TurnQueue queue = queue(request.program());
        if (queue.waiting().size() >= TurnQueue.MAXIMUM_WAITING) {
            return Optional.of(Refusal.notRunRetryAfter(
                    ResultCode.QUEUE_FULL, "too many turns of the program wait", RETRY_AFTER_MILLIS));
        }
        return Optional.empty();
    }

    private TurnQueue queue(String program) {
        return queues.computeIfAbsent(program, ignored -> new TurnQueue());
    }

    private boolean isRunning(TurnStart start) {
        return Optional.ofNullable(queues.get(start.request().program()))
                .flatMap(TurnQueue::running)
                .filter(running -> isSame(running, start))
                .isPresent();
    }

    private static boolean isSame(TurnStart one, TurnStart other) {
        return one.request().requestId().equals(other.request().requestId());
    }

    /** Starts the program's next turn when none runs. */
    private void startNext(long nowMillis, String id) {
        TurnQueue queue = queue(id);
        while (queue.running().isEmpty()) {
            int nextTurn =
                    state.get().program(id).map(program -> program.turns + 1).orElse(1);
            Optional<TurnRequest> next = queue.takeNext(nextTurn);
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
        Program payer = state.get().payer(program);
        Outcome<TurnStart> planned = TurnPlanner.plan(program, payer, request);
        if (planned instanceof Outcome.Failure<TurnStart> failure) {
            listener.onRefused(request.requestId(), failure.refusal());
            return;
        }
        TurnStart start = planned.toOptional().orElseThrow();
        queue.run(start);
        reserve(program, payer, start.reservation());
        if (request.implicitProgram() || start.reservation() <= program.recordedReservation) {
            listener.onTurnStart(start);
            return;
        }
        ShardRecord.ReservationRaised raised =
                new ShardRecord.ReservationRaised(state.get().epoch(), program.id, start.reservation());
        submitter.accept(raised, folded -> raisedThenStart(nowMillis, program, start));
    }

    private void raisedThenStart(long nowMillis, Program program, TurnStart start) {
        boolean stillRunning =
                owned.getAsBoolean() && program.recordedReservation >= start.reservation() && isRunning(start);
        if (stillRunning) {
            listener.onTurnStart(start);
            return;
        }
        listener.onRefused(
                start.request().requestId(),
                Refusal.notRunRetryAfter(ResultCode.NOT_OWNER, "the shard passed on", RETRY_AFTER_MILLIS));
        // When the record was refused, for a full backlog say, the shard is still owned and the program must go on.
        close(nowMillis, start);
    }

    /** A request outside any program is a program of one turn, recorded together with the end of that turn. */
    private Program implicitProgram(long nowMillis, TurnRequest request) {
        return new Program(implicitRecord(nowMillis, request));
    }

    private ShardRecord.ProgramCreated implicitRecord(long nowMillis, TurnRequest request) {
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

    private void reserve(Program program, Program payer, long tokens) {
        program.liveReservations += tokens;
        if (payer != program) {
            payer.liveReservations += tokens;
        }
    }

    void end(long nowMillis, TurnStart start, TurnResult result, Consumer<Boolean> whenDurable) {
        // A turn of an epoch of before may come to its end when this process owns the shard again. The takeover has
        // charged its reservation, so that what it spent would count twice and pass the budget.
        if (!isRunning(start)) {
            whenDurable.accept(false);
            return;
        }
        TurnRequest request = start.request();
        Optional<Program> known = state.get().program(request.program());
        if (request.implicitProgram() && known.isEmpty()) {
            submitter.accept(implicitRecord(nowMillis, request), folded -> {});
        }
        Program program = known.orElseGet(() -> implicitProgram(nowMillis, request));
        ShardRecord.TurnEnded ended = TurnRecords.ended(nowMillis, state.get().epoch(), program, start, result);
        submitter.accept(ended, folded -> {
            boolean kept = state.get()
                    .program(request.program())
                    .filter(found -> found.lastRequestId.equals(request.requestId()))
                    .isPresent();
            whenDurable.accept(folded && kept && owned.getAsBoolean());
            close(nowMillis, start);
        });
        if (request.implicitProgram()) {
            ShardRecord.ProgramEnded end = new ShardRecord.ProgramEnded(
                    state.get().epoch(), request.program(), ResultCode.OK.number(), nowMillis);
            submitter.accept(end, folded -> {});
        }
    }

    /** Without the charge an engine that fails would let a program spend its budget twice. */
    void chargeLostAttempt(TurnStart start, Consumer<Boolean> whenCharged) {
        if (start.request().implicitProgram() || !isRunning(start)) {
            whenCharged.accept(start.request().implicitProgram());
            return;
        }
        ShardRecord.BudgetCharged charged = new ShardRecord.BudgetCharged(
                state.get().epoch(), start.request().program(), start.reservation());
        submitter.accept(charged, folded -> whenCharged.accept(folded && owned.getAsBoolean() && withinBudget(start)));
    }

    private boolean withinBudget(TurnStart start) {
        return state.get()
                .program(start.request().program())
                .map(state.get()::payer)
                .filter(payer -> payer.budgetTokens - payer.spentTokens - payer.liveReservations >= 0)
                .isPresent();
    }

    /** Ends the run of a turn and starts the program's next one. */
    void close(long nowMillis, TurnStart start) {
        String id = start.request().program();
        if (!isRunning(start)) {
            return;
        }
        queues.get(id).runEnded();
        if (!start.request().implicitProgram()) {
            state.get()
                    .program(id)
                    .ifPresent(program -> reserve(program, state.get().payer(program), -start.reservation()));
        }
        startNext(nowMillis, id);
    }

    boolean withdraw(String program, String requestId) {
        TurnQueue queue = queues.get(program);
        return queue != null
                && queue.waiting().removeIf(request -> request.requestId().equals(requestId));
    }

    /** Refuses what waits past its deadline. */
    void expire(long nowMillis) {
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
                request.requestId(), Refusal.notRun(ResultCode.DEADLINE_PASSED, "it waited for an earlier turn")));
    }
}
