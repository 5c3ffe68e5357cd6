package org.quetzalshunt.standin.fleet;

/** What is wrong with the store. */
public enum StoreFault {
    /** Nothing. */
    NONE,
    /** Every call is refused with status 503, and nothing is done. */
    BUSY,
    /** Calls are not answered, and nothing is done. */
    SILENT,
    /** Appends are done, and their answers are lost with the connection. */
    LOSES_ANSWERS
}
