package org.quetzalshunt.core.memory;

/**
 * Bounds the memory of all responses that a VM buffers at the same time. When they exceed the budget together, a
 * response that holds more than an equal share is ended, and not the smaller ones beside it.
 *
 * <p>Load pattern: a few endpoints that send without end, beside many sound ones. Without the bound, the responses
 * without end fill the heap until their deadlines, and the allocation that fails may be that of any other request.
 */
public final class ResponseBudget {
    /** Maximum size of one response. */
    public static final long MAXIMUM_RESPONSE_BYTES = 8L << 20;

    /** Part of the heap that responses may use. */
    private static final int HEAP_DIVISOR = 4;

    private final long totalBytes;
    private long heldBytes;
    private int holders;

    private ResponseBudget(long totalBytes) {
        this.totalBytes = totalBytes;
    }

    /** Creates the budget of a process with a heap of the given size. */
    public static ResponseBudget ofHeap(long heapBytes) {
        return new ResponseBudget(heapBytes / HEAP_DIVISOR);
    }

    /** Opens the account of one response. */
    public Account open() {
        return new Account();
    }

    /** Bytes held by all responses. */
    public long heldBytes() {
        return heldBytes;
    }

    /** What one response holds. */
    public final class Account {
        private long bytes;

        private Account() {}

        /** Replaces the number of bytes held; false if the response must be ended because it holds too much. */
        public boolean set(long newBytes) {
            holders += Long.signum(newBytes) - Long.signum(bytes);
            heldBytes += newBytes - bytes;
            bytes = newBytes;
            boolean exceedsShare = heldBytes > totalBytes && bytes * holders > totalBytes;
            return bytes <= MAXIMUM_RESPONSE_BYTES && !exceedsShare;
        }
    }
}
