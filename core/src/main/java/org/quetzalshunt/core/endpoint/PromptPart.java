package org.quetzalshunt.core.endpoint;

/**
 * A part of a prompt that an engine may hold in memory and need not read again.
 *
 * @param id the same for the same content; a part that grows from turn to turn keeps its id
 * @param tokens its size
 */
public record PromptPart(String id, long tokens) {}
