package org.quetzalshunt.server.http;

/**
 * Time limits of one call, in milliseconds.
 *
 * @param connect for opening a new connection
 * @param answer from sending the request to the end of the response
 * @param reuse longest idle time of a pooled connection that is reused; 0 forces a new connection
 */
public record CallTimes(long connect, long answer, long reuse) {}
