package org.quetzalshunt.app.bench.scenario;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulates a model engine in steps of virtual time: continuous batching over a limited number of slots, chunked
 * prefill that shares each step with decoding, a waiting queue ordered by priority, and a least-recently-used prefix
 * cache.
 */
final class SimulatedEngine {
    /** Maximum fraction of a step's compute for prefill when decoding could use the whole step. */
    private static final double MAX_PREFILL_FRACTION = 0.5;

    private final EngineParameters parameters;
    private final List<EngineRequest> running = new ArrayList<>();
    private final List<EngineRequest> waiting = new ArrayList<>();
    private final LinkedHashMap<String, Long> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedTokens;
    private double speedFraction = 1;
    private boolean down;
    private double unitsDone;

    SimulatedEngine(EngineParameters parameters) {
        this.parameters = parameters;
    }

    int running() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }

    int slots() {
        return parameters.slots();
    }

    boolean isDown() {
        return down;
    }

    /** Units of work done since the start, as defined in {@link EngineParameters}. */
    double unitsDone() {
        return unitsDone;
    }

    void setSpeedFraction(double fraction) {
        speedFraction = fraction;
    }

    /** Stops the engine, clears its cache and returns all running and waiting requests, which are lost. */
    List<EngineRequest> crash() {
        List<EngineRequest> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        cache.clear();
        cachedTokens = 0;
        down = true;
        return lost;
    }

    void restart() {
        down = false;
    }

    /** Queues a request by priority; requests of equal priority run in order of submission. */
    void submit(EngineRequest request) {
        int index = waiting.size();
        while (index > 0 && waiting.get(index - 1).priority > request.priority) {
            index--;
        }
        waiting.add(index, request);
    }

    /** Removes a waiting or running request. Its partial output is not cached. */
    void cancel(long id) {
        waiting.removeIf(request -> request.id == id);
        running.removeIf(request -> request.id == id);
    }

    /** Evicts the cached history with the key, if there is one. */
    void evict(String cacheKey) {
        Long tokens = cache.remove(cacheKey);
        cachedTokens -= tokens == null ? 0 : tokens;
    }

    /** Simulates one step of computation and returns the requests that completed in it. */
    List<EngineRequest> step(long nowMillis, long stepMillis) {
        if (down) {
            return List.of();
        }
        while (!waiting.isEmpty() && running.size() < parameters.slots()) {
            admit(waiting.remove(0));
        }
        if (running.isEmpty()) {
            return List.of();
        }
        compute(nowMillis, stepMillis);
        return removeCompleted();
    }

    private void admit(EngineRequest request) {
        request.cachedTokens = Math.min(cache.getOrDefault(request.cacheKey, 0L), request.promptTokens);
        request.promptUnitsLeft = (request.promptTokens - request.cachedTokens) * parameters.unitsPerPromptToken();
        running.add(request);
    }

    private void compute(long nowMillis, long stepMillis) {
        double budget = parameters.unitsPerSecond() * speedFraction * stepMillis / 1_000;
        int decodingRequests = 0;
        double prefillDemand = 0;
        for (EngineRequest request : running) {
            decodingRequests += request.isDecoding() ? 1 : 0;
            prefillDemand += Math.max(0, request.promptUnitsLeft);
        }
        double maxTokensPerAnswer = parameters.answerTokensPerSecond() * speedFraction * stepMillis / 1_000;
        double decodeDemand = decodingRequests * maxTokensPerAnswer;
        double prefillBudget = Math.min(prefillDemand, Math.max(budget - decodeDemand, MAX_PREFILL_FRACTION * budget));
        double tokensPerAnswer =
                decodingRequests == 0 ? 0 : Math.min(maxTokensPerAnswer, (budget - prefillBudget) / decodingRequests);
        for (EngineRequest request : running) {
            if (request.isDecoding()) {
                decode(request, tokensPerAnswer, nowMillis);
            } else {
                double used = Math.min(prefillBudget, request.promptUnitsLeft);
                request.promptUnitsLeft -= used;
                prefillBudget -= used;
                unitsDone += used;
            }
        }
    }

    private void decode(EngineRequest request, double tokens, long nowMillis) {
        double used = Math.min(tokens, request.outputTokens - request.generatedTokens);
        request.generatedTokens += used;
        unitsDone += used;
        if (request.firstTokenMillis == 0) {
            request.firstTokenMillis = nowMillis;
        }
    }

    private List<EngineRequest> removeCompleted() {
        List<EngineRequest> done = new ArrayList<>();
        Iterator<EngineRequest> requests = running.iterator();
        while (requests.hasNext()) {
            EngineRequest request = requests.next();
            if (request.isComplete()) {
                requests.remove();
                cacheHistory(request);
                done.add(request);
            }
        }
        return done;
    }

    private void cacheHistory(EngineRequest request) {
        Long previousTokens = cache.put(request.cacheKey, request.promptTokens + request.outputTokens);
        cachedTokens += request.promptTokens + request.outputTokens - (previousTokens == null ? 0 : previousTokens);
        Iterator<Map.Entry<String, Long>> oldest = cache.entrySet().iterator();
        while (cachedTokens > parameters.cacheTokens() && oldest.hasNext()) {
            cachedTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
