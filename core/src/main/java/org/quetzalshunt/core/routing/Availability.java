package org.quetzalshunt.core.routing;

/** Whether a service has endpoints that may be sent a request, whatever runs there. */
public enum Availability {
    /** It has. */
    AVAILABLE,
    /** It would, if their data centres were not evacuated. */
    EVACUATED,
    /** None is registered where the request may run, or all are leaving. */
    NONE
}
