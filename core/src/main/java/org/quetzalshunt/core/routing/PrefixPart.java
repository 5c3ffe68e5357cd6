package org.quetzalshunt.core.routing;

/**
 * A part of a prompt that an engine may hold in memory and need not read again.
 *
 * @param id the same for the same content; a part that grows from turn to turn keeps its id
 * @param tokens its size
 */
public record PrefixPart(String id, long tokens) {}
