package org.quetzalshunt.core.routing;

/**
 * The parts of load control that are on for a request, and what they need to know about it.
 *
 * @param speedSampling whether endpoints are sampled and compared by their measured speeds
 * @param route route of the request, by which the usual time of requests without a prompt is learnt
 */
public record RoutingOptions(boolean speedSampling, String route) {
    /** All parts are off. */
    public static final RoutingOptions OFF = new RoutingOptions(false, "");
}
