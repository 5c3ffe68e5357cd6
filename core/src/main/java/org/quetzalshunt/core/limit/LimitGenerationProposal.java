package org.quetzalshunt.core.limit;

/**
 * A generation that a VM would append to the configuration stream.
 *
 * @param record what to append
 */
public record LimitGenerationProposal(LimitGenerationRecord record) {}
