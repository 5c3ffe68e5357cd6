/**
 * HTTP/1.1 over the Netty codec (RFC 9112): a server that passes each complete request to a handler, and a client that
 * streams the response. Both run on the event loop of the caller, so that a process needs no locks.
 */
package org.quetzalshunt.server.http;
