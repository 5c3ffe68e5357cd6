package org.quetzalshunt.core.configuration;

import org.quetzalshunt.core.limit.LimitGenerationRecord;

/**
 * The generation of rate sharing in force.
 *
 * @param offset offset of its record, the generation's number
 * @param generation who has a part
 * @param notedMillis when, by the proposer's clock
 */
public record LimitGenerationState(long offset, LimitGenerationRecord generation, long notedMillis) {}
