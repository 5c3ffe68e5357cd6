package org.quetzalshunt.core.route;

/**
 * What the endpoints of a model service are like.
 *
 * @param slots requests that one generates for at once
 * @param cacheTokens tokens that its memory holds
 * @param tokensPerEvent tokens that one event of a stream stands for
 */
public record EngineShape(int slots, long cacheTokens, int tokensPerEvent) {}
