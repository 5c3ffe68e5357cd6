package org.quetzalshunt.core.program;

/**
 * The result of a completed turn.
 *
 * @param answer the assistant's message in canonical form
 * @param stored the response to store for repeated requests
 * @param usage token counts reported by the engine
 */
public record TurnResult(byte[] answer, StoredAnswer stored, TokenUsage usage) {}
