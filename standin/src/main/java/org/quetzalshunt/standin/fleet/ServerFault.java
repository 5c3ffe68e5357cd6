package org.quetzalshunt.standin.fleet;

/** What is wrong with a server. */
public enum ServerFault {
    /** Nothing. */
    NONE,
    /** Says that it is full and did not run the request. */
    FULL,
    /** Runs the request and closes the connection without an answer. */
    ANSWER_LOST,
    /** Runs the request and closes the connection in the middle of the answer. */
    CUT,
    /** Runs the request and answers nothing. */
    SILENT,
    /** Answers the request with another one's id. */
    WRONG_ID,
    /** Answers without its signature. */
    UNSIGNED,
    /** Begins to run the request, crashes, and is back a moment later under the same id and address. */
    CRASH
}
