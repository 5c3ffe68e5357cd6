package org.quetzalshunt.core.routing;

/**
 * Start or end of the use of other data centres for a service whose local endpoints are full.
 *
 * @param service the service
 * @param started whether it started
 */
public record SpilloverChange(String service, boolean started) {}
