package org.quetzalshunt.core.attempt;

/**
 * Tokens that an engine counted for one answer.
 *
 * @param promptTokens all tokens of the prompt
 * @param cachedTokens those of them that came from the prefix cache
 * @param completionTokens tokens of the answer
 */
public record TokenUsage(long promptTokens, long cachedTokens, long completionTokens) {}
