package org.quetzalshunt.core.route;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maximumHeaderBytes total size of the headers of a request
 * @param maximumBodyBytes size of the body of a request
 * @param idleTimeoutMillis how long a connection may be idle between requests
 */
public record CallerLimits(int maximumHeaderBytes, int maximumBodyBytes, long idleTimeoutMillis) {}
