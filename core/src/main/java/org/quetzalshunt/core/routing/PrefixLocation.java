package org.quetzalshunt.core.routing;

/**
 * Where a part of a prompt lies.
 *
 * @param endpoint id of the endpoint that it was sent to
 * @param part the part, with the tokens that were sent
 */
public record PrefixLocation(String endpoint, PrefixPart part) {}
