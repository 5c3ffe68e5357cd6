package org.quetzalshunt.core.program;

/**
 * What a turn gave.
 *
 * @param answer the assistant's message in canonical octets
 * @param stored the answer for re-sends
 * @param usage tokens as counted by the engine
 */
public record TurnResult(byte[] answer, StoredAnswer stored, TurnUsage usage) {}
