package org.quetzalshunt.app.bench.play;

/**
 * What a fake engine can do. A unit of work is one output token in a full batch.
 *
 * @param slots requests it runs at once
 * @param unitsPerSecond units of work it computes in all
 * @param answerTokensPerSecond output tokens of one answer at most
 * @param unitsPerPromptToken cost of one prompt token that is not in the cache
 * @param cacheTokens tokens that its prefix cache holds
 */
public record EngineShape(
        int slots, double unitsPerSecond, double answerTokensPerSecond, double unitsPerPromptToken, long cacheTokens) {

    /** A middling engine: 24 answers at full speed, 48 slots, prompts ten times as cheap as answers. */
    static EngineShape middling() {
        return new EngineShape(48, 1_200, 50, 0.1, 400_000);
    }

    /** The same with another cache. */
    EngineShape withCache(long newCacheTokens) {
        return new EngineShape(slots, unitsPerSecond, answerTokensPerSecond, unitsPerPromptToken, newCacheTokens);
    }
}
