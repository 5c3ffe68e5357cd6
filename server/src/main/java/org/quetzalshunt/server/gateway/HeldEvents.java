package org.quetzalshunt.server.gateway;

import org.quetzalshunt.core.memory.MemoryHolder;
import org.quetzalshunt.core.memory.MemoryUse;
import org.quetzalshunt.server.http.HttpExchange;

/** Accounts for the events or the response body that a forwarder holds. */
final class HeldEvents {
    private final MemoryHolder holder;
    private long heldBytes;

    HeldEvents(HttpExchange exchange) {
        this.holder = exchange.memory();
    }

    /** Replaces the number of bytes held. */
    void set(long bytes) {
        if (bytes > heldBytes) {
            holder.hold(MemoryUse.EVENTS, bytes - heldBytes);
        } else {
            holder.release(MemoryUse.EVENTS, heldBytes - bytes);
        }
        heldBytes = bytes;
    }
}
