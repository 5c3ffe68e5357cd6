package org.quetzalshunt.core.memory;

import java.util.OptionalLong;

/**
 * Limit of the sockets in use. Without it, a process at its descriptor limit can accept no connection, open none to an
 * endpoint and none to the store.
 */
public final class DescriptorLimit {
    /** Descriptors for files, listening sockets, links and the store. */
    private static final long RESERVED = 200;

    private final long maximumSockets;

    private DescriptorLimit(long maximumSockets) {
        this.maximumSockets = maximumSockets;
    }

    /** Creates the limit of a process with a maximum number of descriptors; none if that is unknown. */
    public static DescriptorLimit of(OptionalLong descriptors) {
        return new DescriptorLimit(
                descriptors.isPresent() ? Math.max(1, descriptors.getAsLong() - RESERVED) : Long.MAX_VALUE);
    }

    /** Number of sockets to be closed before another one is opened. */
    public long excess(long inUse) {
        return Math.max(0, inUse + 1 - maximumSockets);
    }
}
