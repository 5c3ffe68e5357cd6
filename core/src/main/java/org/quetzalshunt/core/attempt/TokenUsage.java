package org.quetzalshunt.core.attempt;

/**
 * Token counts that an engine reported for one response.
 *
 * @param promptTokens all tokens of the prompt
 * @param cachedTokens prompt tokens that came from the prefix cache
 * @param completionTokens tokens of the response
 */
public record TokenUsage(long promptTokens, long cachedTokens, long completionTokens) {}
