package org.quetzalshunt.core.program;

/**
 * Tokens of one turn as the engine counted them.
 *
 * @param promptTokens tokens of the whole prompt
 * @param cachedTokens prompt tokens that were not computed again
 * @param completionTokens tokens generated
 */
public record TurnUsage(long promptTokens, long cachedTokens, long completionTokens) {
    /** Tokens in the context after the turn. */
    public long contextTokens() {
        return promptTokens + completionTokens;
    }
}
