package org.quetzalshunt.core.vm;

/**
 * One life of one process. A VM that is replaced at the same address has another incarnation, and everything
 * addressed to the former one is void.
 *
 * @param name name from settings
 * @param incarnation start time in milliseconds since the epoch, raised above any former one seen
 */
public record VmId(String name, long incarnation) {
    /** Joins the two parts. */
    public static VmId of(String name, long incarnation) {
        return new VmId(name, incarnation);
    }

    @Override
    public String toString() {
        return name + "#" + incarnation;
    }
}
