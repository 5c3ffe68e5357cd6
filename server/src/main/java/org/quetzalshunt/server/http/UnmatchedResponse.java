package org.quetzalshunt.server.http;

import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * A response on a client connection that was not passed to a request.
 *
 * @param kind why it was not passed on
 * @param server address of the server
 * @param connection the connection, with the number of its last request
 * @param awaitedId id of the request that waits on the connection; empty if none waits or it has no id
 * @param head head of the response; empty if no whole one was received
 */
public record UnmatchedResponse(
        UnmatchedResponses.Kind kind,
        InetSocketAddress server,
        ConnectionUse connection,
        Optional<String> awaitedId,
        Optional<HttpResponse> head) {}
