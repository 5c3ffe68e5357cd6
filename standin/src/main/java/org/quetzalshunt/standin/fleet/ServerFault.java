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
    /** Starts to execute the request, crashes, and restarts after a short delay with the same id and address. */
    CRASH
}
