package org.quetzalshunt.app.bench.play;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A model engine in steps of virtual time: continuous batching over a limited number of slots, prompts in chunks
 * beside answers, a waiting queue by priority, and a prefix cache that evicts what was used longest ago.
 */
final class EngineFake {
    /** Part of a step that prompts get at most while answers want it, as engines with chunked prefill share it. */
    private static final double PROMPT_PART = 0.5;

    private final EngineShape shape;
    private final List<EngineRequest> running = new ArrayList<>();
    private final List<EngineRequest> waiting = new ArrayList<>();
    private final LinkedHashMap<String, Long> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedTokens;
    private double speedPart = 1;
    private boolean down;
    private double unitsDone;

    EngineFake(EngineShape shape) {
        this.shape = shape;
    }

    int running() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }

    int slots() {
        return shape.slots();
    }

    boolean down() {
        return down;
    }

    double unitsDone() {
        return unitsDone;
    }

    void setSpeedPart(double part) {
        speedPart = part;
    }

    /** Dies with everything in it, and says what that was. */
    List<EngineRequest> lose() {
        List<EngineRequest> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        cache.clear();
        cachedTokens = 0;
        down = true;
        return lost;
    }

    void comeBack() {
        down = false;
    }

    /** Takes a request; among equals of priority the first one goes first. */
    void submit(EngineRequest request) {
        int place = waiting.size();
        while (place > 0 && waiting.get(place - 1).priority > request.priority) {
            place--;
        }
        waiting.add(place, request);
    }

    /** Takes a request out; what it delivered is lost. */
    void cancel(long id) {
        waiting.removeIf(request -> request.id == id);
        running.removeIf(request -> request.id == id);
    }

    /** Frees what it holds for a program that ended. */
    void forget(String cacheKey) {
        Long tokens = cache.remove(cacheKey);
        cachedTokens -= tokens == null ? 0 : tokens;
    }

    /** Computes for a step and returns the requests whose answers it completed. */
    List<EngineRequest> step(long nowMillis, long stepMillis) {
        if (down) {
            return List.of();
        }
        while (!waiting.isEmpty() && running.size() < shape.slots()) {
            begin(waiting.remove(0));
        }
        if (running.isEmpty()) {
            return List.of();
        }
        compute(nowMillis, stepMillis);
        return complete();
    }

    private void begin(EngineRequest request) {
        request.cachedTokens = Math.min(cache.getOrDefault(request.cacheKey, 0L), request.promptTokens);
        request.promptUnitsLeft = (request.promptTokens - request.cachedTokens) * shape.unitsPerPromptToken();
        running.add(request);
    }

    private void compute(long nowMillis, long stepMillis) {
        double budget = shape.unitsPerSecond() * speedPart * stepMillis / 1_000;
        int answers = 0;
        double prompts = 0;
        for (EngineRequest request : running) {
            answers += request.decoding() ? 1 : 0;
            prompts += Math.max(0, request.promptUnitsLeft);
        }
        double perAnswer = shape.answerTokensPerSecond() * speedPart * stepMillis / 1_000;
        double answersWant = answers * perAnswer;
        double forPrompts = Math.min(prompts, Math.max(budget - answersWant, PROMPT_PART * budget));
        double each = answers == 0 ? 0 : Math.min(perAnswer, (budget - forPrompts) / answers);
        for (EngineRequest request : running) {
            if (request.decoding()) {
                decode(request, each, nowMillis);
            } else {
                double used = Math.min(forPrompts, request.promptUnitsLeft);
                request.promptUnitsLeft -= used;
                forPrompts -= used;
                unitsDone += used;
            }
        }
    }

    private void decode(EngineRequest request, double tokens, long nowMillis) {
        double used = Math.min(tokens, request.outputTokens - request.outputDone);
        request.outputDone += used;
        unitsDone += used;
        if (request.firstTokenMillis == 0) {
            request.firstTokenMillis = nowMillis;
        }
    }

    private List<EngineRequest> complete() {
        List<EngineRequest> done = new ArrayList<>();
        Iterator<EngineRequest> requests = running.iterator();
        while (requests.hasNext()) {
            EngineRequest request = requests.next();
            if (request.done()) {
                requests.remove();
                keep(request);
                done.add(request);
            }
        }
        return done;
    }

    private void keep(EngineRequest request) {
        Long before = cache.put(request.cacheKey, request.promptTokens + request.outputTokens);
        cachedTokens += request.promptTokens + request.outputTokens - (before == null ? 0 : before);
        Iterator<Map.Entry<String, Long>> oldest = cache.entrySet().iterator();
        while (cachedTokens > shape.cacheTokens() && oldest.hasNext()) {
            cachedTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
