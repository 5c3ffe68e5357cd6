/**
 * HTTP/1.1 over Netty's codec (RFC 9112): a server that hands each request to a handler as one value, and a client
 * that streams the answer. Both run on the caller's event loop, so that a process needs no locks.
 */
package org.quetzalshunt.server.http;
