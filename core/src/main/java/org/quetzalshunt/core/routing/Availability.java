package org.quetzalshunt.core.routing;

/** Whether a service has endpoints that can be sent a request, regardless of their load. */
public enum Availability {
    /** At least one endpoint accepts work. */
    AVAILABLE,
    /** All endpoints that could accept the request are in evacuated data centres. */
    EVACUATED,
    /** No endpoint is registered where the request may run, or all of them are shutting down. */
    NONE
}
