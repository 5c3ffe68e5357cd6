package org.quetzalshunt.core.decision.endpoint;

/** Class of a request, which determines the part of an endpoint's limit that it may use. */
public enum Urgency {
    /** First turn of a program: no work is lost if it waits. */
    NEW_PROGRAM,
    /** First turn of a program that has waited for long. */
    AGED_PROGRAM,
    /** Later turn of a program, whose work so far is lost if it fails. */
    LATER_TURN,
    /** Any turn of an account that has clearly less than its fair share of the running requests. */
    UNDERSERVED
}
