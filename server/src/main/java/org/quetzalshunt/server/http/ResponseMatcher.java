package org.quetzalshunt.server.http;

import io.netty.handler.codec.http.HttpHeaders;

/** Matches the responses on a connection to a request. */
@FunctionalInterface
public interface ResponseMatcher {
    /** Accepts every response, for servers that send exactly one to each request. */
    ResponseMatcher ANY = headers -> ResponseMatch.OWN;

    /** Matches a response by its headers. */
    ResponseMatch match(HttpHeaders headers);
}
