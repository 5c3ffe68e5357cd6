package org.quetzalshunt.core.limit;

import java.util.List;
import org.quetzalshunt.core.vm.VmId;

/**
 * A generation of the limits, as recorded in the configuration stream: the VMs that may hold parts of the accounts'
 * rates and bursts, starting at this record. The offset of the record is the generation's number.
 *
 * @param basedOnGeneration offset of the generation that it replaces, {@link #NONE} for the first. A record that is not
 *     based on the generation that is current at its position in the stream is void.
 * @param coordinator VM that proposed it
 * @param members VMs that may hold parts; members of the replaced generation retain their parts
 * @param formerMembers members of the replaced generation; parts that none of them carries over are granted again
 * @param longWait whether reclaimed parts stay unused for the maximum lag of the VM list, in addition to the time in
 *     which a lease expires
 */
public record LimitGenerationRecord(
        long basedOnGeneration, VmId coordinator, List<VmId> members, List<VmId> formerMembers, boolean longWait) {

    /** Value of {@code basedOnGeneration} for the first generation. */
    public static final long NONE = -1;

    /** Whether this is a deployment's first generation, before which no VM can have held a part. */
    public boolean isFirst() {
        return basedOnGeneration == NONE;
    }
}
