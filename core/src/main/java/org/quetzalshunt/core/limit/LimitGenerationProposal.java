package org.quetzalshunt.core.limit;

/**
 * A generation that a VM proposes to append to the configuration stream.
 *
 * @param record record to append
 */
public record LimitGenerationProposal(LimitGenerationRecord record) {}
