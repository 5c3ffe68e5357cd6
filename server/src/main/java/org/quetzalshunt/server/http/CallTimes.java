package org.quetzalshunt.server.http;

/**
 * Time limits of one call, in milliseconds.
 *
 * @param connect for a new connection to be established
 * @param answer from the sending to the whole answer
 * @param reuse a pooled connection that rested longer is not used; 0 asks for a new connection
 */
public record CallTimes(long connect, long answer, long reuse) {}
