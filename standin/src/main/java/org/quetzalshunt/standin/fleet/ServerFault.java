package org.quetzalshunt.standin.fleet;

/** Fault of a {@link ServerStandin}. */
public enum ServerFault {
    /** No fault. */
    NONE,
    /** Responds that it is full and has not executed the request. */
    FULL,
    /** Executes the request and closes the connection without a response. */
    ANSWER_LOST,
    /** Executes the request and closes the connection in the middle of the response. */
    CUT,
    /** Executes the request and sends no response. */
    SILENT,
    /** Responds with the id of another request. */
    WRONG_ID,
    /** Responds without the response stamp. */
    UNSIGNED,
    /**
     * Sends a share of its responses once more, some time later on the same connection. Refuses and fails a share of the
     * requests, so that responses to one request differ.
     */
    REPEAT,
    /** Like {@link #REPEAT}, but sends only the beginning of a response once more, cut in its head. */
    REPEAT_BEGINNING,
    /** Starts to execute the request, crashes, and restarts after a short delay with the same id and address. */
    CRASH;

    /** Whether responses are repeated. */
    public boolean repeats() {
        return this == REPEAT || this == REPEAT_BEGINNING;
    }
}
