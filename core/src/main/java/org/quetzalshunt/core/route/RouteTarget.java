package org.quetzalshunt.core.route;

/**
 * A service that a route distributes requests to.
 *
 * @param service name of the service
 * @param weight share of the requests relative to the weights of the other targets
 */
public record RouteTarget(String service, int weight) {}
