package org.quetzalshunt.core.route;

/**
 * Bounds on what a caller may send.
 *
 * @param maximumHeaderBytes all headers of a request
 * @param maximumBodyBytes body of a request
 * @param idleTimeoutMillis how long a connection may rest between requests
 */
public record CallerLimits(int maximumHeaderBytes, int maximumBodyBytes, long idleTimeoutMillis) {}
