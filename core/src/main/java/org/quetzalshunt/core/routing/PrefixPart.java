package org.quetzalshunt.core.routing;

/**
 * A part of a prompt that an engine can keep in its prefix cache.
 *
 * @param id identifies the content; a part that grows from turn to turn keeps its id
 * @param tokens its size
 */
public record PrefixPart(String id, long tokens) {}
