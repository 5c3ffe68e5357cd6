package org.quetzalshunt.server.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;

/**
 * A request to send. Its length is set when it is sent; all other headers go as they are.
 *
 * @param address where to
 * @param method such as {@code POST}
 * @param uri path and query
 * @param headers headers, Host among them
 * @param body body, possibly empty
 */
public record OutboundRequest(InetSocketAddress address, String method, String uri, HttpHeaders headers, byte[] body) {}
