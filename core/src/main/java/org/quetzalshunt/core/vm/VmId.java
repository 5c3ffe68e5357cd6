package org.quetzalshunt.core.vm;

/**
 * Identifies one incarnation of a VM's process. A process that is restarted or replaced at the same address is a new
 * incarnation, and messages addressed to an earlier one are discarded.
 *
 * @param name name of the VM in the settings
 * @param incarnation start time in Unix milliseconds, or a higher number if an earlier incarnation had a later one
 */
public record VmId(String name, long incarnation) {
    /** Creates an id. */
    public static VmId of(String name, long incarnation) {
        return new VmId(name, incarnation);
    }

    @Override
    public String toString() {
        return name + "#" + incarnation;
    }
}
