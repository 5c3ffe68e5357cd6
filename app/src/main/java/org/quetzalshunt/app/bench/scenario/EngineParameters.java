package org.quetzalshunt.app.bench.scenario;

/**
 * Capacity of a simulated engine. A unit of work is one output token generated in a full batch.
 *
 * @param slots maximum number of requests running at once
 * @param unitsPerSecond units of work computed per second over all requests
 * @param answerTokensPerSecond maximum output tokens per second of one answer
 * @param unitsPerPromptToken units of work for one prompt token that is not cached
 * @param cacheTokens capacity of the prefix cache in tokens
 */
public record EngineParameters(
        int slots, double unitsPerSecond, double answerTokensPerSecond, double unitsPerPromptToken, long cacheTokens) {

    /**
     * A mid-range engine with 48 slots. It generates up to 24 answers at once at full speed, and a prompt token costs a
     * tenth of an output token.
     */
    static EngineParameters midRange() {
        return new EngineParameters(48, 1_200, 50, 0.1, 400_000);
    }

    /** Returns a copy with another cache capacity. */
    EngineParameters withCache(long newCacheTokens) {
        return new EngineParameters(slots, unitsPerSecond, answerTokensPerSecond, unitsPerPromptToken, newCacheTokens);
    }
}
