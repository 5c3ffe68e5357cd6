package org.quetzalshunt.core.endpoint;

/** How an attempt at an endpoint ended, as far as the choice of endpoints is concerned. */
public enum Finish {
    /** It answered. */
    ANSWERED,
    /** It said that it is full. */
    FULL,
    /** It could not be reached, broke off, or answered wrongly. */
    FAILED,
    /** Ended for a reason that says nothing of the endpoint, such as a caller that left. */
    NEUTRAL
}
