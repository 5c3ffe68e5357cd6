package org.quetzalshunt.server.http;

/**
 * Where a request was sent.
 *
 * @param localPort local port of the connection
 * @param requestNumber number of the request on the connection, from 1
 */
public record ConnectionUse(int localPort, int requestNumber) {}
