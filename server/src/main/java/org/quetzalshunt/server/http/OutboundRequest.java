package org.quetzalshunt.server.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;

/**
 * A request to send. Its length header is set when it is sent; all other headers are sent unchanged.
 *
 * @param address address of the server
 * @param method method, such as {@code POST}
 * @param uri path and query
 * @param headers headers, including Host
 * @param body body, possibly empty
 */
public record OutboundRequest(InetSocketAddress address, String method, String uri, HttpHeaders headers, byte[] body) {}
