package org.quetzalshunt.core.memory;

import java.util.Locale;

/** What memory is held for. */
public enum MemoryUse {
    /** Responses that callers have not read. */
    RESPONSES,
    /** Bodies of requests that are being received or processed. */
    BODIES,
    /** Events and response bodies that cannot be sent to the caller yet. */
    EVENTS,
    /** Requests that endpoints have not read. */
    REQUESTS,
    /** Messages that peers have not read. */
    PEERS;

    /** Name in metrics and in the state dump. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
