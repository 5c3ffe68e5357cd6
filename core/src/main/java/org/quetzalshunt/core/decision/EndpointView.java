package org.quetzalshunt.core.decision;

/**
 * One endpoint as this entry sees it, for status and metrics.
 *
 * @param name endpoint
 * @param service its service
 * @param limit requests that all entries together should have in it
 * @param inFlight requests that this entry has in it
 * @param ejected whether this entry sends it nothing because it failed
 */
public record EndpointView(String name, String service, int limit, int inFlight, boolean ejected) {}
