package org.quetzalshunt.standin.fleet;

/** Fault of a {@link StoreStandin}. */
public enum StoreFault {
    /** No fault. */
    NONE,
    /** Every call gets status 503 and has no effect. */
    BUSY,
    /** Calls get no response and have no effect. */
    SILENT,
    /** Appends are stored, and the connection is closed without a response. */
    LOSES_ANSWERS
}
