package org.quetzalshunt.core.program;

/** Whether the messages of a request include the program's history. */
public enum MessageMode {
    /** The messages are the whole history followed by new messages. */
    ALL,
    /** The messages are new messages only. */
    NEW,
    /**
     * Detected: {@link #ALL} if the messages extend the history, a mismatch if they are longer than the history and
     * only share its first message, otherwise {@link #NEW}.
     */
    AUTOMATIC
}
