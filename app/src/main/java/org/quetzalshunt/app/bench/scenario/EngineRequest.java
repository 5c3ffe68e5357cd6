package org.quetzalshunt.app.bench.scenario;

/** One request in a simulated engine. */
final class EngineRequest {
    final long id;
    final String cacheKey;
    final int priority;
    final long promptTokens;
    final long outputTokens;
    final long dispatchedMillis;
    long cachedTokens;
    double promptUnitsLeft;
    double generatedTokens;
    long firstTokenMillis;

    EngineRequest(long id, String cacheKey, int priority, long promptTokens, long outputTokens, long dispatchedMillis) {
        this.id = id;
        this.cacheKey = cacheKey;
        this.priority = priority;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.dispatchedMillis = dispatchedMillis;
    }

    boolean isDecoding() {
        return promptUnitsLeft <= 0;
    }

    boolean isComplete() {
        return generatedTokens >= outputTokens;
    }

    long deliveredTokens() {
        return Math.min(outputTokens, (long) generatedTokens);
    }
}
