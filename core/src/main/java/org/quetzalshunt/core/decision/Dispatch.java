package org.quetzalshunt.core.decision;

/**
 * A request to send to an endpoint now.
 *
 * @param item the request
 * @param endpoint name of the endpoint
 * @param priority priority in the engine's own queue; a lower number goes first
 */
public record Dispatch(WorkItem item, String endpoint, int priority) {}
