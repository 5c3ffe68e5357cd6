package org.quetzalshunt.standin.engine;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.quetzalshunt.standin.control.RunState;

/**
 * Scheduler with continuous batching. Each step emits one word for every run whose prefill is complete and prefills a
 * bounded number of prompt tokens. A free slot goes to the waiting request with the highest priority, the oldest one
 * among equals. A running request is never preempted.
 */
final class Batch {
    private static final Comparator<Waiting> MOST_URGENT_FIRST = Comparator.<Waiting>comparingInt(
                    waiting -> waiting.run().request().priority())
            .thenComparingLong(Waiting::sequence);

    private final EventLoop loop;
    private final BatchSettings settings;
    private final LongSupplier clockMillis;
    private final BatchHooks hooks;
    private final PriorityQueue<Waiting> waiting = new PriorityQueue<>(MOST_URGENT_FIRST);
    private final List<EngineRun> running = new ArrayList<>();
    private long sequence;
    private long wordsEmitted;
    private boolean stepping;

    private Batch(EventLoop loop, BatchSettings settings, LongSupplier clockMillis, BatchHooks hooks) {
        this.loop = loop;
        this.settings = settings;
        this.clockMillis = clockMillis;
        this.hooks = hooks;
    }

    static Batch create(EventLoop loop, BatchSettings settings, LongSupplier clockMillis, BatchHooks hooks) {
        return new Batch(loop, settings, clockMillis, hooks);
    }

    boolean isFull() {
        return waiting.size() >= settings.waitingLimit();
    }

    int runningCount() {
        return running.size();
    }

    int waitingCount() {
        return waiting.size();
    }

    long wordsEmitted() {
        return wordsEmitted;
    }

    void submit(EngineRun run) {
        waiting.add(new Waiting(run, sequence++));
        if (!stepping) {
            beginStep();
        }
    }

    void cancel(EngineRun run, RunState state) {
        run.abort(state);
        running.remove(run);
        waiting.removeIf(candidate -> candidate.run() == run);
    }

    /** Aborts all running and waiting requests, as a crash of the engine does. */
    void abortAll() {
        List<EngineRun> all = new ArrayList<>(running);
        waiting.forEach(candidate -> all.add(candidate.run()));
        running.clear();
        waiting.clear();
        all.forEach(run -> run.abort(RunState.CUT));
    }

    private void beginStep() {
        admit();
        stepping = !running.isEmpty();
        if (!stepping) {
            return;
        }
        List<EngineRun> streams = new ArrayList<>();
        List<Prefill> prefills = new ArrayList<>();
        int budget = settings.prefillChunkTokens();
        for (EngineRun run : running) {
            if (run.prefillRemaining() == 0) {
                streams.add(run);
            } else if (budget > 0) {
                int tokens = Math.min(budget, run.prefillRemaining());
                budget -= tokens;
                prefills.add(new Prefill(run, tokens));
            }
        }
        int prefillTokens = settings.prefillChunkTokens() - budget;
        long micros = settings.stepMicros(streams.size(), prefillTokens);
        loop.schedule(() -> endStep(streams, prefills), micros, TimeUnit.MICROSECONDS);
    }

    /**
     * A run whose prefill ends in this step emits its first word in the same step, since prefill computes that word.
     */
    private void endStep(List<EngineRun> streams, List<Prefill> prefills) {
        for (Prefill prefill : prefills) {
            prefill.run().prefill(prefill.tokens());
            if (prefill.run().prefillRemaining() == 0) {
                streams.add(prefill.run());
            }
        }
        long now = clockMillis.getAsLong();
        streams.forEach(run -> advance(run, now));
        beginStep();
        hooks.stepped().run();
    }

    private void advance(EngineRun run, long nowMillis) {
        if (run.ended()) {
            return;
        }
        if (run.emit(nowMillis, hooks.extraMillis().getAsLong())) {
            wordsEmitted++;
        }
        if (!run.allWordsEmitted()) {
            return;
        }
        running.remove(run);
        run.finish();
        hooks.finished().accept(run);
    }

    private void admit() {
        while (running.size() < settings.slots() && !waiting.isEmpty()) {
            EngineRun run = waiting.remove().run();
            run.admit(hooks.cachedTokens().applyAsInt(run));
            running.add(run);
        }
    }

    private record Waiting(EngineRun run, long sequence) {}

    private record Prefill(EngineRun run, int tokens) {}
}
