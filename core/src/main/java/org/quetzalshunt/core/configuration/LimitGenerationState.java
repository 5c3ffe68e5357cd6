package org.quetzalshunt.core.configuration;

import java.util.List;

/**
 * The generation of rate sharing in force.
 *
 * @param generation offset of its record
 * @param coordinator VM that proposed it
 * @param incarnation life of that VM
 * @param members VMs that have a part
 * @param notedMillis when, by the proposer's clock
 */
public record LimitGenerationState(
        long generation, String coordinator, long incarnation, List<String> members, long notedMillis) {}
