package org.quetzalshunt.server.http;

/**
 * Time limits of one call, in milliseconds.
 *
 * @param connectMillis timeout for opening a new connection
 * @param responseMillis timeout from sending the request to the end of the response
 * @param maximumIdleMillis maximum idle time of a pooled connection to be reused if the server states no keep-alive
 *     time; 0 always opens a new connection, which is closed after the response
 */
public record CallTimeouts(long connectMillis, long responseMillis, long maximumIdleMillis) {}
