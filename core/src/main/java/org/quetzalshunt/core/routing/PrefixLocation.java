package org.quetzalshunt.core.routing;

/**
 * An endpoint whose cache holds a part of a prompt.
 *
 * @param endpoint id of the endpoint
 * @param part the part, with the number of tokens that were sent
 */
public record PrefixLocation(String endpoint, PrefixPart part) {}
