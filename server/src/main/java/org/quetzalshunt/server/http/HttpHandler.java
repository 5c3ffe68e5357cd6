package org.quetzalshunt.server.http;

/** Takes each request that arrived whole; answers now or later, on the event loop. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles one request. An exception becomes status 500 with code 9000. */
    void handle(HttpExchange exchange);
}
