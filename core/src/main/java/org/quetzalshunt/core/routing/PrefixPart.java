package org.quetzalshunt.core.routing;

/**
 * A part of a prompt that an engine can cache.
 *
 * @param id identifier of the part; unchanged when the part grows between turns
 * @param tokens size of the part in tokens
 */
public record PrefixPart(String id, long tokens) {}
