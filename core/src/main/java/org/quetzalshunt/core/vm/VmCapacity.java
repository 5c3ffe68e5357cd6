package org.quetzalshunt.core.vm;

import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Capacity of a VM as stated in its settings. An absent, zero or negative value is unknown.
 *
 * @param cores processor time per second of real time, in seconds of one core
 * @param memoryBytes memory above which the process is ended
 * @param descriptors maximum number of open file descriptors
 * @param linkMegabitsPerSecond bandwidth of the VM's network link
 */
public record VmCapacity(
        OptionalDouble cores,
        OptionalLong memoryBytes,
        OptionalLong descriptors,
        OptionalDouble linkMegabitsPerSecond) {
    /** A capacity of which nothing is known. */
    public static final VmCapacity UNKNOWN = of(0, 0, 0, 0);

    /** Creates a capacity in which values that are not positive numbers are unknown. */
    public static VmCapacity of(double cores, long memoryBytes, long descriptors, double linkMegabitsPerSecond) {
        return new VmCapacity(
                positive(cores), positive(memoryBytes), positive(descriptors), positive(linkMegabitsPerSecond));
    }

    private static OptionalDouble positive(double value) {
        return value > 0 && Double.isFinite(value) ? OptionalDouble.of(value) : OptionalDouble.empty();
    }

    private static OptionalLong positive(long value) {
        return value > 0 ? OptionalLong.of(value) : OptionalLong.empty();
    }
}
