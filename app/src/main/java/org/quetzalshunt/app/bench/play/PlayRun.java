package org.quetzalshunt.app.bench.play;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.quetzalshunt.core.decision.Dispatch;
import org.quetzalshunt.core.decision.Expired;
import org.quetzalshunt.core.decision.Finish;
import org.quetzalshunt.core.decision.Policy;
import org.quetzalshunt.core.decision.Scheduler;
import org.quetzalshunt.core.decision.SchedulerSettings;
import org.quetzalshunt.core.decision.WorkItem;
import org.quetzalshunt.core.result.Refusal;

/** One run of a play under one policy: callers, entries with the real scheduler, fake engines, virtual time. */
public final class PlayRun {
    private static final long STEP_MILLIS = 10;
    private static final long DEADLINE_MILLIS = 60_000;

    /** Time after a request's first offer at which its caller gives the program up. */
    private static final long PATIENCE_MILLIS = 180_000;

    /** Time after which a caller sends again when it got an error or nothing. */
    private static final long RESEND_MILLIS = 1_000;

    /** What an entry believes of every answer's length before it comes. */
    private static final long EXPECTED_OUTPUT_TOKENS = 200;

    private static final long PROGRESS_MILLIS = 500;
    private static final int QUEUE_LIMIT = 256;
    private static final double RETRY_JITTER = 0.25;
    private static final long LONGEST_RUN_MILLIS = 7_200_000;

    private record Event(long atMillis, long sequence, Runnable action) {}

    private record Attempt(Call call, EngineRequest request, int entry, int engine) {}

    private final Play play;
    private final List<Scheduler> entries = new ArrayList<>();
    private final EngineFleet fleet;
    private final Recorder recorder;
    private final SplittableRandom callers;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final Map<Long, Call> offered = new HashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private long nowMillis;
    private long sequence;
    private long nextId = 1;
    private int programsLeft;
    private double unitsWhileArriving;

    private PlayRun(Play play, Policy policy, long seed) {
        this.play = play;
        this.fleet = new EngineFleet(play, STEP_MILLIS);
        this.recorder = new Recorder(play);
        this.callers = new SplittableRandom(seed + 1);
        for (int entry = 0; entry < play.entries(); entry++) {
            SchedulerSettings settings = SchedulerSettings.of(
                            EngineFleet.dataCentre(entry), play.entries(), seed * 31 + entry)
                    .withPolicy(policy);
            entries.add(Scheduler.create(settings));
        }
    }

    /** Runs a play to its end. */
    public static Measures run(Play play, Policy policy, long seed) {
        return new PlayRun(play, policy, seed).run(Workload.draw(play, seed));
    }

    private Measures run(List<ProgramScript> scripts) {
        programsLeft = scripts.size();
        for (ProgramScript script : scripts) {
            ProgramRun program = new ProgramRun(script);
            at(script.arrivalMillis(), () -> startTurn(program));
        }
        while (programsLeft > 0 && nowMillis < LONGEST_RUN_MILLIS) {
            step();
            nowMillis += STEP_MILLIS;
        }
        return recorder.measures(unitsWhileArriving);
    }

    private void step() {
        for (EngineRequest lost : fleet.applyFaults(nowMillis, entries)) {
            endpointFailed(attempts.get(lost.id));
        }
        fleet.report(nowMillis, entries);
        while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
            events.remove().action().run();
        }
        for (int entry = 0; entry < entries.size(); entry++) {
            decide(entry);
        }
        for (int engine = 0; engine < fleet.size(); engine++) {
            for (EngineRequest done : fleet.engine(engine).step(nowMillis, STEP_MILLIS)) {
                answered(attempts.remove(done.id));
            }
        }
        if (nowMillis % PROGRESS_MILLIS == 0) {
            attempts.forEach((id, attempt) -> entries.get(attempt.entry())
                    .progressed(nowMillis, id, attempt.request().delivered()));
        }
        if (nowMillis <= play.arrivalMillis()) {
            unitsWhileArriving = fleet.unitsDone();
        }
    }

    private void at(long millis, Runnable action) {
        events.add(new Event(millis, sequence++, action));
    }

    private void startTurn(ProgramRun program) {
        ProgramScript.Turn turn = program.present();
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
        begin(call);
    }

    private void begin(Call call) {
        recorder.offered(nowMillis, call);
        call.deadlineMillis = nowMillis + DEADLINE_MILLIS;
        offer(call);
    }

    private int entryOf(ProgramRun program) {
        return Math.floorMod(program.script.name().hashCode() * 31, entries.size());
    }

    private void offer(Call call) {
        if (call.program.over) {
            return;
        }
        long id = nextId++;
        WorkItem item = new WorkItem(
                id,
                EngineFleet.SERVICE,
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
        offered.put(id, call);
        entries.get(entryOf(call.program)).offer(nowMillis, item, QUEUE_LIMIT).ifPresent(refusal -> {
            offered.remove(id);
            refused(call, refusal);
        });
    }

    private void refused(Call call, Refusal refusal) {
        recorder.refused(call);
        sendAgain(call, refusal.retryAfterMillis().orElse(RESEND_MILLIS));
    }

    private void sendAgain(Call call, long afterMillis) {
        long wait = Math.round(afterMillis * (1 + RETRY_JITTER * callers.nextDouble()));
        if (nowMillis + wait > call.firstOfferedMillis + PATIENCE_MILLIS) {
            abandon(call.program);
            return;
        }
        at(nowMillis + wait, () -> {
            call.attempts = 0;
            call.avoidEndpoint = "";
            call.deadlineMillis = nowMillis + DEADLINE_MILLIS;
            offer(call);
        });
    }

    private void abandon(ProgramRun program) {
        if (program.over) {
            return;
        }
        program.latencyMillis += nowMillis - program.turnStartedMillis;
        recorder.abandoned(program, PATIENCE_MILLIS);
        end(program);
    }

    private void end(ProgramRun program) {
        program.over = true;
        programsLeft--;
        forget(program, program.script.name());
    }

    private void forget(ProgramRun program, String cacheKey) {
        entries.get(entryOf(program)).cacheForgotten(cacheKey);
        for (int engine = 0; engine < fleet.size(); engine++) {
            fleet.engine(engine).forget(cacheKey);
        }
    }

    private void decide(int entry) {
        Scheduler scheduler = entries.get(entry);
        for (Expired expired : scheduler.expire(nowMillis)) {
            refused(offered.remove(expired.item().id()), expired.refusal());
        }
        for (Dispatch dispatch : scheduler.tick(nowMillis)) {
            dispatched(entry, dispatch);
        }
    }

    private void dispatched(int entry, Dispatch dispatch) {
        WorkItem item = dispatch.item();
        Call call = offered.remove(item.id());
        int engine = EngineFleet.number(dispatch.endpoint());
        EngineRequest request = new EngineRequest(
                item.id(), call.cacheKey, dispatch.priority(), call.promptTokens, call.outputTokens, nowMillis);
        Attempt attempt = new Attempt(call, request, entry, engine);
        attempts.put(item.id(), attempt);
        if (fleet.engine(engine).down()) {
            at(nowMillis + STEP_MILLIS, () -> endpointFailed(attempt));
            return;
        }
        fleet.engine(engine).submit(request);
        at(call.deadlineMillis, () -> deadlinePassed(attempt));
    }

    private void endpointFailed(Attempt attempt) {
        if (attempts.remove(attempt.request().id) == null) {
            return;
        }
        recorder.attemptLost(attempt.request());
        Scheduler scheduler = entries.get(attempt.entry());
        long duration = nowMillis - attempt.request().dispatchedMillis;
        scheduler.finished(
                nowMillis,
                attempt.request().id,
                Finish.endpointFailed(attempt.request().delivered(), duration));
        Call call = attempt.call();
        if (!scheduler.mayRetry(nowMillis, EngineFleet.SERVICE)) {
            sendAgain(call, RESEND_MILLIS);
            return;
        }
        call.attempts++;
        call.avoidEndpoint = EngineFleet.name(attempt.engine());
        at(nowMillis + scheduler.retryDelayMillis(call.attempts), () -> offer(call));
    }

    private void deadlinePassed(Attempt attempt) {
        EngineRequest request = attempt.request();
        if (attempts.remove(request.id) == null) {
            return;
        }
        recorder.attemptLost(request);
        fleet.engine(attempt.engine()).cancel(request.id);
        long duration = nowMillis - request.dispatchedMillis;
        entries.get(attempt.entry()).finished(nowMillis, request.id, Finish.cancelled(request.delivered(), duration));
        sendAgain(attempt.call(), RESEND_MILLIS);
    }

    private void answered(Attempt attempt) {
        EngineRequest request = attempt.request();
        Call call = attempt.call();
        Scheduler scheduler = entries.get(attempt.entry());
        recorder.answered(nowMillis, call, request.cachedTokens);
        scheduler.finished(
                nowMillis,
                request.id,
                Finish.ok(
                        call.promptTokens,
                        request.cachedTokens,
                        call.outputTokens,
                        request.firstTokenMillis - request.dispatchedMillis,
                        nowMillis - request.dispatchedMillis));
        fleet.sendFresh(nowMillis, attempt.engine(), scheduler);
        callAnswered(call);
    }

    private void callAnswered(Call call) {
        ProgramRun program = call.program;
        if (program.over) {
            return;
        }
        boolean ofRoot = call.cacheKey.equals(program.script.name());
        if (ofRoot) {
            program.historyTokens += call.outputTokens;
            startSubAgents(program);
        } else {
            forget(program, call.cacheKey);
        }
        if (--program.outstanding > 0) {
            return;
        }
        program.latencyMillis += nowMillis - program.turnStartedMillis;
        if (program.lastTurn()) {
            recorder.completed(program);
            end(program);
            return;
        }
        long pause = program.present().pauseMillis();
        program.turn++;
        at(nowMillis + pause, () -> startTurn(program));
    }

    private void startSubAgents(ProgramRun program) {
        int number = 0;
        for (ProgramScript.SubAgent agent : program.present().subAgents()) {
            program.outstanding++;
            String cacheKey = program.script.name() + "/" + program.turn + "/" + number++;
            begin(new Call(
                    program, cacheKey, 0, agent.promptTokens(), agent.promptTokens(), agent.outputTokens(), nowMillis));
        }
    }
}
