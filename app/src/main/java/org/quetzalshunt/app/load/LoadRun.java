package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.wire.json.Json;

/** Runs the programs of a plan on one event loop until each has finished or failed, or the plan's time is up. */
final class LoadRun {
    private static final long PROGRESS_SECONDS = 2;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final LoadPlan plan;
    private final EventLoop loop;
    private final PrintStream progress;
    private final RoundRobinClient client;
    private final Map<String, AccountResult> results = new TreeMap<>();
    private final CompletableFuture<ObjectNode> resultFuture = new CompletableFuture<>();
    private final String runId = Long.toHexString(System.nanoTime());
    private LoadClock clock;
    private List<Arrival> arrivals = List.of();
    private ScheduledFuture<?> progressTimer;
    private int nextArrival;
    private int endedPrograms;

    private LoadRun(LoadPlan plan, EventLoop loop, PrintStream progress) {
        this.plan = plan;
        this.loop = loop;
        this.progress = progress;
        this.client = RoundRobinClient.create(loop, plan.entries());
        plan.accounts().forEach(account -> results.put(account, AccountResult.create()));
    }

    /** Starts a run. The future completes with the results as JSON. */
    static CompletableFuture<ObjectNode> start(LoadPlan plan, EventLoop loop, PrintStream progress) {
        LoadRun run = new LoadRun(plan, loop, progress);
        loop.execute(run::begin);
        return run.resultFuture;
    }

    private void begin() {
        arrivals = Arrival.draw(plan);
        clock = LoadClock.start();
        progress.printf("%d programs over %d s%n", arrivals.size(), plan.seconds());
        progressTimer =
                loop.scheduleAtFixedRate(this::printProgress, PROGRESS_SECONDS, PROGRESS_SECONDS, TimeUnit.SECONDS);
        loop.schedule(this::finish, plan.seconds() + (long) plan.drainSeconds(), TimeUnit.SECONDS);
        scheduleNext();
        finishIfAllEnded();
    }

    private void scheduleNext() {
        if (nextArrival == arrivals.size()) {
            return;
        }
        long wait = Math.max(0, arrivals.get(nextArrival).dueMicros() - clock.micros());
        loop.schedule(this::startDue, wait, TimeUnit.MICROSECONDS);
    }

    private void startDue() {
        while (nextArrival < arrivals.size() && arrivals.get(nextArrival).dueMicros() <= clock.micros()) {
            startProgram(arrivals.get(nextArrival), nextArrival);
            nextArrival++;
        }
        scheduleNext();
    }

    private void startProgram(Arrival arrival, int number) {
        AccountResult result = results.get(arrival.account());
        result.recordStart();
        LoadContext context = new LoadContext(plan, client, clock);
        ProgramRun.create(
                        context,
                        arrival.account(),
                        result,
                        runId + "-" + number,
                        arrival.plan(),
                        end -> onProgramEnd(arrival, result, end))
                .start();
    }

    private void onProgramEnd(Arrival arrival, AccountResult result, ProgramEnd end) {
        if (end == ProgramEnd.FINISHED) {
            result.recordFinish(clock.micros() - arrival.dueMicros());
        } else {
            result.recordFailure();
        }
        endedPrograms++;
        finishIfAllEnded();
    }

    private void finishIfAllEnded() {
        if (endedPrograms == arrivals.size()) {
            finish();
        }
    }

    private void finish() {
        if (resultFuture.isDone()) {
            return;
        }
        progressTimer.cancel(false);
        printProgress();
        resultFuture.complete(toJson());
        loop.execute(client::close);
    }

    private void printProgress() {
        AccountResult all = total();
        progress.printf(
                "%3d s: %d started, %d finished, %d failed, refusals by code %s%n",
                clock.micros() / MICROS_PER_SECOND,
                all.startedCount(),
                all.finishedCount(),
                all.failedCount(),
                all.refusalCounts());
    }

    private AccountResult total() {
        AccountResult all = AccountResult.create();
        results.values().forEach(all::add);
        return all;
    }

    private ObjectNode toJson() {
        ObjectNode root = Json.object();
        root.putObject("plan")
                .put("shape", plan.shape().name())
                .put("seconds", plan.seconds())
                .put("programsPerSecond", plan.programsPerSecond())
                .put("programs", arrivals.size())
                .put("heavyAccount", plan.heavyAccount())
                .put("heavyFactor", plan.heavyFactor())
                .put("seed", plan.seed());
        root.set("all", total().toJson());
        ObjectNode accounts = root.putObject("accounts");
        results.forEach((account, result) -> accounts.set(account, result.toJson()));
        return root;
    }
}
