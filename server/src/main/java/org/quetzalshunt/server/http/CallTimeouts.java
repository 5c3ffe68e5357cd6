package org.quetzalshunt.server.http;

/**
 * Time limits of one call, in milliseconds.
 *
 * @param connectMillis for opening a new connection
 * @param responseMillis from sending the request to the end of the response
 * @param maximumIdleMillis longest idle time of a pooled connection that is reused; 0 forces a new connection
 */
public record CallTimeouts(long connectMillis, long responseMillis, long maximumIdleMillis) {}
