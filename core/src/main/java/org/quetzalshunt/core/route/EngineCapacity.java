package org.quetzalshunt.core.route;

/**
 * Capacity and output granularity of the inference engine at each endpoint of a model service.
 *
 * @param slots requests that one engine generates output for concurrently
 * @param cacheTokens tokens that the prompt cache of one engine holds
 * @param tokensPerEvent generated tokens in one event of a streamed response
 */
public record EngineCapacity(int slots, long cacheTokens, int tokensPerEvent) {}
