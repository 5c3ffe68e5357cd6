package org.quetzalshunt.core.decision.endpoint;

/** What a request may claim of an endpoint's room. */
public enum Urgency {
    /** First turn of a program: nothing is lost yet if it waits. */
    NEW_PROGRAM,
    /** First turn of a program that has waited for long. */
    AGED_PROGRAM,
    /** Turn of a program in progress, whose work so far is lost if it fails. */
    LATER_TURN,
    /** Any turn of an account that has clearly less than its part of what runs. */
    UNDERSERVED
}
