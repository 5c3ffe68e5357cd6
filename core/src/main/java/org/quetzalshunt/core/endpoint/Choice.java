package org.quetzalshunt.core.endpoint;

/**
 * A chosen endpoint, with what was believed of it.
 *
 * @param registration the endpoint
 * @param missingTokens tokens of the prompt that it does not hold
 * @param expectedMillis cost of the request there
 */
public record Choice(Registration registration, long missingTokens, double expectedMillis) {}
