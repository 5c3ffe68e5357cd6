package org.quetzalshunt.app.bench.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.quetzalshunt.core.decision.Dispatch;
import org.quetzalshunt.core.decision.ExpiredRequest;
import org.quetzalshunt.core.decision.FinishedAttempt;
import org.quetzalshunt.core.decision.Policy;
import org.quetzalshunt.core.decision.Scheduler;
import org.quetzalshunt.core.decision.SchedulerSettings;
import org.quetzalshunt.core.decision.WorkItem;
import org.quetzalshunt.core.result.Refusal;

/**
 * Runs a scenario under one policy in virtual time, with simulated callers and engines and the production scheduler in
 * each entry.
 */
public final class ScenarioRun {
    private static final long STEP_MILLIS = 10;
    private static final long DEADLINE_MILLIS = 60_000;

    /** Time after a request's first offer at which its caller abandons the program. */
    private static final long ABANDON_AFTER_MILLIS = 180_000;

    /** Delay before a caller resends a request that failed, timed out or was refused without a retry delay. */
    private static final long RESEND_DELAY_MILLIS = 1_000;

    /** Output length that the entries assume for every request, since the real length is unknown in advance. */
    private static final long EXPECTED_OUTPUT_TOKENS = 200;

    private static final long PROGRESS_INTERVAL_MILLIS = 500;
    private static final int QUEUE_LIMIT = 256;
    private static final double RETRY_JITTER = 0.25;
    private static final long MAX_RUN_MILLIS = 7_200_000;

    private record Event(long atMillis, long sequence, Runnable action) {}

    private record Attempt(Call call, EngineRequest request, int entry, int engine) {}

    private final Scenario scenario;
    private final List<Scheduler> entries = new ArrayList<>();
    private final SimulatedFleet fleet;
    private final Recorder recorder;
    private final SplittableRandom callerRandom;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final Map<Long, Call> offeredCalls = new HashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private long nowMillis;
    private long sequence;
    private long nextId = 1;
    private int programsLeft;
    private double unitsWhileArriving;

    private ScenarioRun(Scenario scenario, Policy policy, long seed) {
        this.scenario = scenario;
        this.fleet = new SimulatedFleet(scenario, STEP_MILLIS);
        this.recorder = new Recorder(scenario);
        this.callerRandom = new SplittableRandom(seed + 1);
        for (int entry = 0; entry < scenario.entries(); entry++) {
            SchedulerSettings settings = SchedulerSettings.of(
                            SimulatedFleet.dataCentre(entry), scenario.entries(), seed * 31 + entry)
                    .withPolicy(policy);
            entries.add(Scheduler.create(settings));
        }
    }

    /** Runs a scenario until all programs have ended or the maximum duration is reached. */
    public static Measures run(Scenario scenario, Policy policy, long seed) {
        return new ScenarioRun(scenario, policy, seed).run(Workload.generate(scenario, seed));
    }

    private Measures run(List<ProgramScript> scripts) {
        programsLeft = scripts.size();
        for (ProgramScript script : scripts) {
            ProgramRun program = new ProgramRun(script);
            schedule(script.arrivalMillis(), () -> startTurn(program));
        }
        while (programsLeft > 0 && nowMillis < MAX_RUN_MILLIS) {
            step();
            nowMillis += STEP_MILLIS;
        }
        return recorder.measures(unitsWhileArriving);
    }

    private void step() {
        for (EngineRequest lost : fleet.applyFaults(nowMillis, entries)) {
            endpointFailed(attempts.get(lost.id));
        }
        fleet.recordAndSendReports(nowMillis, entries);
        while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
            events.remove().action().run();
        }
        for (int entry = 0; entry < entries.size(); entry++) {
            runScheduler(entry);
        }
        for (int engine = 0; engine < fleet.size(); engine++) {
            for (EngineRequest done : fleet.engine(engine).step(nowMillis, STEP_MILLIS)) {
                answered(attempts.remove(done.id));
            }
        }
        if (nowMillis % PROGRESS_INTERVAL_MILLIS == 0) {
            attempts.forEach((id, attempt) -> entries.get(attempt.entry())
                    .recordProgress(nowMillis, id, attempt.request().deliveredTokens()));
        }
        if (nowMillis <= scenario.arrivalMillis()) {
            unitsWhileArriving = fleet.unitsDone();
        }
    }

    private void schedule(long millis, Runnable action) {
        events.add(new Event(millis, sequence++, action));
    }

    private void startTurn(ProgramRun program) {
        ProgramScript.Turn turn = program.currentTurn();
        program.turnStartedMillis = nowMillis;
        program.outstanding = 1;
        program.historyTokens += turn.newPromptTokens();
        Call call = new Call(
                program,
                program.script.name(),
                program.turn,
                program.historyTokens,
                turn.newPromptTokens(),
                turn.outputTokens(),
                nowMillis);
        startCall(call);
    }

    private void startCall(Call call) {
        recorder.offered(nowMillis, call);
        call.deadlineMillis = nowMillis + DEADLINE_MILLIS;
        offer(call);
    }

    private int entryOf(ProgramRun program) {
        return Math.floorMod(program.script.name().hashCode() * 31, entries.size());
    }

    private void offer(Call call) {
        if (call.program.ended) {
            return;
        }
        long id = nextId++;
        WorkItem item = new WorkItem(
                id,
                SimulatedFleet.SERVICE,
                call.account().name(),
                call.account().weight(),
                call.program.script.name(),
                call.cacheKey,
                call.turn,
                call.promptTokens,
                EXPECTED_OUTPUT_TOKENS,
                nowMillis,
                call.deadlineMillis,
                call.attempts,
                call.avoidEndpoint);
        offeredCalls.put(id, call);
        entries.get(entryOf(call.program)).offer(nowMillis, item, QUEUE_LIMIT).ifPresent(refusal -> {
            offeredCalls.remove(id);
            refused(call, refusal);
        });
    }

    private void refused(Call call, Refusal refusal) {
        recorder.refused(call);
        scheduleResend(call, refusal.retryAfterMillis().orElse(RESEND_DELAY_MILLIS));
    }

    private void scheduleResend(Call call, long afterMillis) {
        long delayMillis = Math.round(afterMillis * (1 + RETRY_JITTER * callerRandom.nextDouble()));
        if (nowMillis + delayMillis > call.firstOfferedMillis + ABANDON_AFTER_MILLIS) {
            abandon(call.program);
            return;
        }
        schedule(nowMillis + delayMillis, () -> {
            call.attempts = 0;
            call.avoidEndpoint = "";
            call.deadlineMillis = nowMillis + DEADLINE_MILLIS;
            offer(call);
        });
    }

    private void abandon(ProgramRun program) {
        if (program.ended) {
            return;
        }
        program.latencyMillis += nowMillis - program.turnStartedMillis;
        recorder.abandoned(program, ABANDON_AFTER_MILLIS);
        endProgram(program);
    }

    private void endProgram(ProgramRun program) {
        program.ended = true;
        programsLeft--;
        evictHistory(program, program.script.name());
    }

    private void evictHistory(ProgramRun program, String cacheKey) {
        entries.get(entryOf(program)).removePrefixLocation(cacheKey);
        for (int engine = 0; engine < fleet.size(); engine++) {
            fleet.engine(engine).evict(cacheKey);
        }
    }

    private void runScheduler(int entry) {
        Scheduler scheduler = entries.get(entry);
        for (ExpiredRequest expired : scheduler.expire(nowMillis)) {
            refused(offeredCalls.remove(expired.item().id()), expired.refusal());
        }
        for (Dispatch dispatch : scheduler.tick(nowMillis)) {
            startAttempt(entry, dispatch);
        }
    }

    private void startAttempt(int entry, Dispatch dispatch) {
        WorkItem item = dispatch.item();
        Call call = offeredCalls.remove(item.id());
        int engine = SimulatedFleet.indexOf(dispatch.endpoint());
        EngineRequest request = new EngineRequest(
                item.id(), call.cacheKey, dispatch.priority(), call.promptTokens, call.outputTokens, nowMillis);
        Attempt attempt = new Attempt(call, request, entry, engine);
        attempts.put(item.id(), attempt);
        if (fleet.engine(engine).isDown()) {
            schedule(nowMillis + STEP_MILLIS, () -> endpointFailed(attempt));
            return;
        }
        fleet.engine(engine).submit(request);
        schedule(call.deadlineMillis, () -> deadlinePassed(attempt));
    }

    private void endpointFailed(Attempt attempt) {
        if (attempts.remove(attempt.request().id) == null) {
            return;
        }
        recorder.attemptLost(attempt.request());
        Scheduler scheduler = entries.get(attempt.entry());
        long duration = nowMillis - attempt.request().dispatchedMillis;
        scheduler.recordFinish(
                nowMillis,
                attempt.request().id,
                FinishedAttempt.endpointFailed(attempt.request().deliveredTokens(), duration));
        Call call = attempt.call();
        if (!scheduler.tryTakeRetry(nowMillis, SimulatedFleet.SERVICE)) {
            scheduleResend(call, RESEND_DELAY_MILLIS);
            return;
        }
        call.attempts++;
        call.avoidEndpoint = SimulatedFleet.name(attempt.engine());
        schedule(nowMillis + scheduler.retryDelayMillis(call.attempts), () -> offer(call));
    }

    private void deadlinePassed(Attempt attempt) {
        EngineRequest request = attempt.request();
        if (attempts.remove(request.id) == null) {
            return;
        }
        recorder.attemptLost(request);
        fleet.engine(attempt.engine()).cancel(request.id);
        long duration = nowMillis - request.dispatchedMillis;
        entries.get(attempt.entry())
                .recordFinish(nowMillis, request.id, FinishedAttempt.cancelled(request.deliveredTokens(), duration));
        scheduleResend(attempt.call(), RESEND_DELAY_MILLIS);
    }

    private void answered(Attempt attempt) {
        EngineRequest request = attempt.request();
        Call call = attempt.call();
        Scheduler scheduler = entries.get(attempt.entry());
        recorder.answered(nowMillis, call, request.cachedTokens);
        scheduler.recordFinish(
                nowMillis,
                request.id,
                FinishedAttempt.ok(
                        call.promptTokens,
                        request.cachedTokens,
                        call.outputTokens,
                        request.firstTokenMillis - request.dispatchedMillis,
                        nowMillis - request.dispatchedMillis));
        fleet.sendCurrentReport(nowMillis, attempt.engine(), scheduler);
        callAnswered(call);
    }

    private void callAnswered(Call call) {
        ProgramRun program = call.program;
        if (program.ended) {
            return;
        }
        boolean isRootCall = call.cacheKey.equals(program.script.name());
        if (isRootCall) {
            program.historyTokens += call.outputTokens;
            startSubAgentCalls(program);
        } else {
            evictHistory(program, call.cacheKey);
        }
        if (--program.outstanding > 0) {
            return;
        }
        program.latencyMillis += nowMillis - program.turnStartedMillis;
        if (program.isLastTurn()) {
            recorder.completed(program);
            endProgram(program);
            return;
        }
        long pause = program.currentTurn().pauseMillis();
        program.turn++;
        schedule(nowMillis + pause, () -> startTurn(program));
    }

    private void startSubAgentCalls(ProgramRun program) {
        int number = 0;
        for (ProgramScript.SubAgent agent : program.currentTurn().subAgents()) {
            program.outstanding++;
            String cacheKey = program.script.name() + "/" + program.turn + "/" + number++;
            startCall(new Call(
                    program, cacheKey, 0, agent.promptTokens(), agent.promptTokens(), agent.outputTokens(), nowMillis));
        }
    }
}
