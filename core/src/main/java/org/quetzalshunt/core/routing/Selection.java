package org.quetzalshunt.core.routing;

/**
 * A chosen endpoint, with what was believed of it.
 *
 * @param registration the endpoint
 * @param uncachedTokens tokens of the prompt that it does not hold
 * @param expectedMillis cost of the request there
 */
public record Selection(Registration registration, long uncachedTokens, double expectedMillis) {}
