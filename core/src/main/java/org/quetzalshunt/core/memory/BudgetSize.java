package org.quetzalshunt.core.memory;

import java.util.OptionalLong;

/**
 * Size of the memory budget: the memory of the VM without what the JVM takes, and no more than the heap and the direct
 * memory can hold. The buffers of a gateway are in the heap, and bodies that are being received are in direct memory.
 * On a VM with ample memory, the JVM's own limits would therefore be reached first and end the process.
 *
 * @param vmBytes memory above which the process is ended, if known
 * @param heapBytes maximum size of the heap
 * @param directBytes maximum size of direct memory
 * @param otherBytes memory that the JVM takes beside the heap: class archive, classes, compiled code
 */
public record BudgetSize(OptionalLong vmBytes, long heapBytes, long directBytes, long otherBytes) {
    /** Margin on what the JVM takes, as a divisor: a fifth. */
    private static final int MARGIN_DIVISOR = 5;

    /** Share of the heap that may hold buffered data, as a divisor; the rest is for tables, objects and collection. */
    private static final int HEAP_DIVISOR = 2;

    /**
     * Lower bound as a divisor of the VM's memory. On a VM that is smaller than the JVM's limits, the heap never grows
     * to its limit, and a budget of zero would refuse all requests.
     */
    private static final int MINIMUM_DIVISOR = 8;

    /** The budget in bytes. */
    public long bytes() {
        long buffers = Math.min(heapBytes / HEAP_DIVISOR, directBytes);
        if (vmBytes.isEmpty()) {
            return buffers;
        }
        long vm = vmBytes.getAsLong();
        long jvm = heapBytes + otherBytes;
        long left = vm - jvm - jvm / MARGIN_DIVISOR;
        return Math.min(buffers, Math.max(left, vm / MINIMUM_DIVISOR));
    }
}
