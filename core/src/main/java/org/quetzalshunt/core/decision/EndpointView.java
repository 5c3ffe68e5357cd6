package org.quetzalshunt.core.decision;

/**
 * State of one endpoint as seen by this entry, for status and metrics.
 *
 * @param name endpoint
 * @param service its service
 * @param limit concurrency limit for the requests of all entries
 * @param inFlight requests that this entry has in flight there
 * @param ejected whether this entry sends it no requests because of its failures
 */
public record EndpointView(String name, String service, int limit, int inFlight, boolean ejected) {}
