package org.quetzalshunt.core.route;

/**
 * A service that a route may send to.
 *
 * @param service its name
 * @param weight its share of the route's requests, against the other targets
 */
public record RouteTarget(String service, int weight) {}
