package org.quetzalshunt.core.routing;

/**
 * Speed of an endpoint as one VM measured it, without queueing; a figure that was not measured is 0.
 *
 * @param millisPerToken time per generated token
 * @param prefillTokensPerMilli prompt tokens prefilled per millisecond
 * @param relativeTime time of a request without a prompt, relative to the middle endpoint of the service
 * @param samples number of measurements, up to a limit
 */
public record EndpointPaceReport(
        double millisPerToken, double prefillTokensPerMilli, double relativeTime, int samples) {}
