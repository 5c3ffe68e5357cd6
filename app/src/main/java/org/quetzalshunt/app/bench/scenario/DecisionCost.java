package org.quetzalshunt.app.bench.scenario;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.quetzalshunt.core.decision.Dispatch;
import org.quetzalshunt.core.decision.EndpointState;
import org.quetzalshunt.core.decision.FinishedAttempt;
import org.quetzalshunt.core.decision.Scheduler;
import org.quetzalshunt.core.decision.SchedulerSettings;
import org.quetzalshunt.core.decision.WorkItem;

/**
 * Measures the time of one scheduling decision, from offer through dispatch to completion, for a given number
 * of endpoints and programs. Reports the median over rounds, because garbage collections and other processes disturb
 * single rounds.
 */
public final class DecisionCost {
    private static final int ROUNDS = 60;
    private static final int WARM_UP_ROUNDS = 30;
    private static final int DECISIONS_PER_ROUND = 2_000;
    private static final int SLOTS_PER_ENDPOINT = 48;
    private static final int ACCOUNTS = 8;
    private static final long PROMPT_TOKENS = 2_000;
    private static final long OUTPUT_TOKENS = 150;

    private final Scheduler scheduler;
    private final int programs;
    private final SplittableRandom random;
    private final List<Dispatch> running = new ArrayList<>();
    private long nowMillis;
    private long nextId = 1;

    private DecisionCost(int endpoints, int programs, long seed) {
        this.scheduler = Scheduler.create(SchedulerSettings.of("arusha-a", 1, seed));
        this.programs = programs;
        this.random = new SplittableRandom(seed);
        for (int endpoint = 0; endpoint < endpoints; endpoint++) {
            String name = "engine-" + endpoint;
            scheduler.recordReport(
                    0,
                    new EndpointState(
                            name,
                            "tutor",
                            SimulatedFleet.dataCentre(endpoint),
                            SLOTS_PER_ENDPOINT,
                            0,
                            0,
                            0,
                            0,
                            false,
                            true));
        }
    }

    /** Returns the median time of one decision in nanoseconds. */
    public static double medianNanos(int endpoints, int programs, long seed) {
        return new DecisionCost(endpoints, programs, seed).measureMedianNanos();
    }

    private double measureMedianNanos() {
        // Half of the programs have a running request and half are idle, so that the scheduler's tables reach full
        // size.
        runDecisions(programs, programs / 2);
        double[] nanos = new double[ROUNDS];
        for (int round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
            long startNanos = System.nanoTime();
            runDecisions(DECISIONS_PER_ROUND, programs / 2);
            long elapsedNanos = System.nanoTime() - startNanos;
            if (round >= WARM_UP_ROUNDS) {
                nanos[round - WARM_UP_ROUNDS] = (double) elapsedNanos / DECISIONS_PER_ROUND;
            }
        }
        Arrays.sort(nanos);
        return nanos[ROUNDS / 2];
    }

    private void runDecisions(int decisions, int maxRunning) {
        for (int decision = 0; decision < decisions; decision++) {
            nowMillis += decision % 10 == 0 ? 1 : 0;
            scheduler.offer(nowMillis, nextItem(), 0);
            scheduler.expire(nowMillis);
            running.addAll(scheduler.tick(nowMillis));
            while (running.size() > maxRunning) {
                finishOne();
            }
        }
    }

    private WorkItem nextItem() {
        long id = nextId++;
        int program = random.nextInt(programs);
        String name = "program-" + program;
        return new WorkItem(
                id,
                "tutor",
                "account-" + program % ACCOUNTS,
                1,
                name,
                name,
                1,
                PROMPT_TOKENS,
                OUTPUT_TOKENS,
                nowMillis,
                nowMillis + 60_000,
                0,
                "");
    }

    private void finishOne() {
        int index = random.nextInt(running.size());
        Dispatch ended = running.get(index);
        running.set(index, running.get(running.size() - 1));
        running.remove(running.size() - 1);
        scheduler.recordFinish(
                nowMillis,
                ended.item().id(),
                FinishedAttempt.ok(PROMPT_TOKENS, PROMPT_TOKENS - 100, OUTPUT_TOKENS, 50, 3_050));
    }
}
