package org.quetzalshunt.core.limit;

import java.util.List;
import org.quetzalshunt.core.vm.VmId;

/**
 * A generation of the limits, as recorded in the configuration stream: the set of VMs that may hold parts from here on.
 * The offset of the record is the generation's number.
 *
 * @param basedOnGeneration offset of the generation that it replaces, {@link #NONE} for the first. A record that is not
 *     based on the generation then in force is void.
 * @param coordinator VM that proposed it
 * @param members VMs that may hold parts; those that were members before keep theirs
 * @param formerMembers members of the replaced generation; parts that they hold and do not carry over are granted again
 * @param longWait whether parts must also stay unused for the lag of the VM list before they are granted again
 */
public record LimitGenerationRecord(
        long basedOnGeneration, VmId coordinator, List<VmId> members, List<VmId> formerMembers, boolean longWait) {

    /** Stands for the offset if there is no earlier generation. */
    public static final long NONE = -1;

    /** Whether this is a deployment's first generation, before which no VM can have held a part. */
    public boolean isFirst() {
        return basedOnGeneration == NONE;
    }
}
