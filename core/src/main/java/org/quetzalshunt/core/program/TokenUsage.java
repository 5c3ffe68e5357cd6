package org.quetzalshunt.core.program;

/**
 * Token counts of one turn, as reported by the engine.
 *
 * @param promptTokens tokens of the whole prompt, including the history
 * @param cachedTokens prompt tokens served from the engine's prefix cache
 * @param completionTokens tokens generated
 */
public record TokenUsage(long promptTokens, long cachedTokens, long completionTokens) {
    /** Tokens in the context after the turn. */
    public long contextTokens() {
        return promptTokens + completionTokens;
    }
}
