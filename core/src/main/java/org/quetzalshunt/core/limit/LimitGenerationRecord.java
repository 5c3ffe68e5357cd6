package org.quetzalshunt.core.limit;

import java.util.List;
import org.quetzalshunt.core.vm.VmId;

/**
 * A generation of the limits, as the configuration stream holds it: who may hold parts from here on. The offset of the
 * record is the generation's number.
 *
 * @param basedOnGeneration offset of the generation that it replaces, {@link #NONE} for the first; a record that is not
 *     based on the generation then in force is void
 * @param coordinator who proposed it
 * @param members who may hold parts; those who were members before keep theirs
 * @param formerMembers members of the replaced generation; what they hold and do not carry over is granted anew
 * @param longWait whether what is granted anew must wait out the lag of the VM list too
 */
public record LimitGenerationRecord(
        long basedOnGeneration, VmId coordinator, List<VmId> members, List<VmId> formerMembers, boolean longWait) {

    /** In place of an offset: no generation came before. */
    public static final long NONE = -1;

    /** Whether this is a deployment's first generation, before which nobody can have held a part. */
    public boolean first() {
        return basedOnGeneration == NONE;
    }
}
