package org.quetzalshunt.server.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * A request to send. Its length header is set when it is sent; all other headers are sent unchanged.
 *
 * @param address address of the server
 * @param method method, such as {@code POST}
 * @param uri path and query
 * @param headers headers, including Host
 * @param body body, possibly empty
 * @param id id that the server echoes in its response; empty if it echoes none. No two requests on a connection
 *     have the same id, because a repeated response to the first could not be told from the response to the second.
 */
public record OutboundRequest(
        InetSocketAddress address, String method, String uri, HttpHeaders headers, byte[] body, Optional<String> id) {}
