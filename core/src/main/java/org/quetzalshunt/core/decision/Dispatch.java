package org.quetzalshunt.core.decision;

/**
 * A request that starts now.
 *
 * @param item the request
 * @param endpoint where it goes
 * @param priority for the engine's own queue; a lower number goes first
 */
public record Dispatch(WorkItem item, String endpoint, int priority) {}
