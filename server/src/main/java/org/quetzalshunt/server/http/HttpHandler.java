package org.quetzalshunt.server.http;

/** Handles complete requests; responds at once or later, on the event loop. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles one request. An exception results in status 500 with code 9000. */
    void handle(HttpExchange exchange);
}
