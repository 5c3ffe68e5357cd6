package org.quetzalshunt.core.program;

/** What the messages of a request are. */
public enum MessageMode {
    /** The whole history and what is new. */
    ALL,
    /** Only what is new. */
    NEW,
    /** All when they extend the history, a mismatch when they start like it, otherwise new. */
    AUTOMATIC
}
