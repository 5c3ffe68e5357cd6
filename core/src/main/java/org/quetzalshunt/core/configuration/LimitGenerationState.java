package org.quetzalshunt.core.configuration;

import org.quetzalshunt.core.limit.LimitGenerationRecord;

/**
 * The current generation of the set of VMs that share the client accounts' rates.
 *
 * @param offset offset of its record, which serves as the generation's number
 * @param generation VMs with a share
 * @param notedMillis time of the proposal, by the proposer's clock
 */
public record LimitGenerationState(long offset, LimitGenerationRecord generation, long notedMillis) {}
