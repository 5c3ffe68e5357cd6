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

/** Lets the programs of a plan arrive, all on one event loop, until they are done or time is up. */
final class LoadRun {
    private static final long PROGRESS_SECONDS = 2;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final LoadPlan plan;
    private final EventLoop loop;
    private final PrintStream progress;
    private final CallerConnection connection;
    private final Map<String, AccountResult> results = new TreeMap<>();
    private final CompletableFuture<ObjectNode> whenOver = new CompletableFuture<>();
    private final String runName = Long.toHexString(System.nanoTime());
    private LoadClock clock;
    private List<Arrival> arrivals = List.of();
    private ScheduledFuture<?> progressTimer;
    private int next;
    private int ended;

    private LoadRun(LoadPlan plan, EventLoop loop, PrintStream progress) {
        this.plan = plan;
        this.loop = loop;
        this.progress = progress;
        this.connection = CallerConnection.create(loop, plan.entries());
        plan.accounts().forEach(account -> results.put(account, AccountResult.create()));
    }

    /** Starts; the result comes as JSON. */
    static CompletableFuture<ObjectNode> start(LoadPlan plan, EventLoop loop, PrintStream progress) {
        LoadRun run = new LoadRun(plan, loop, progress);
        loop.execute(run::begin);
        return run.whenOver;
    }

    private void begin() {
        arrivals = Arrival.draw(plan);
        clock = LoadClock.start();
        progress.printf("%d programs over %d s%n", arrivals.size(), plan.seconds());
        progressTimer = loop.scheduleAtFixedRate(this::report, PROGRESS_SECONDS, PROGRESS_SECONDS, TimeUnit.SECONDS);
        loop.schedule(this::finish, plan.seconds() + (long) plan.drainSeconds(), TimeUnit.SECONDS);
        scheduleNext();
        finishWhenDone();
    }

    private void scheduleNext() {
        if (next == arrivals.size()) {
            return;
        }
        long wait = Math.max(0, arrivals.get(next).dueMicros() - clock.micros());
        loop.schedule(this::startDue, wait, TimeUnit.MICROSECONDS);
    }

    private void startDue() {
        while (next < arrivals.size() && arrivals.get(next).dueMicros() <= clock.micros()) {
            startProgram(arrivals.get(next), next);
            next++;
        }
        scheduleNext();
    }

    private void startProgram(Arrival arrival, int number) {
        AccountResult result = results.get(arrival.account());
        result.started();
        LoadContext context = new LoadContext(plan, connection, clock);
        ProgramRun.create(
                        context,
                        arrival.account(),
                        result,
                        runName + "-" + number,
                        arrival.plan(),
                        end -> programEnded(arrival, result, end))
                .start();
    }

    private void programEnded(Arrival arrival, AccountResult result, ProgramEnd end) {
        if (end == ProgramEnd.FINISHED) {
            result.finished(clock.micros() - arrival.dueMicros());
        } else {
            result.failed();
        }
        ended++;
        finishWhenDone();
    }

    private void finishWhenDone() {
        if (ended == arrivals.size()) {
            finish();
        }
    }

    private void finish() {
        if (whenOver.isDone()) {
            return;
        }
        progressTimer.cancel(false);
        report();
        whenOver.complete(toJson());
        loop.execute(connection::close);
    }

    private void report() {
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
