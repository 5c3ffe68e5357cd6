package org.quetzalshunt.core.routing;

/**
 * The selected endpoint and the estimates that the selection was based on.
 *
 * @param registration the endpoint
 * @param uncachedTokens tokens of the prompt that are not in its cache
 * @param expectedMillis cost of the request there
 */
public record Selection(Registration registration, long uncachedTokens, double expectedMillis) {}
