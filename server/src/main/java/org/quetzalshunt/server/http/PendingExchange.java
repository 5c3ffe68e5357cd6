package org.quetzalshunt.server.http;

import java.util.function.Supplier;

/**
 * A request without a final response, as its handler describes it.
 *
 * @param requestId id of the request
 * @param step what the handler is doing; one of a few fixed names
 * @param end ends the request at once, with a response if that has not begun
 */
public record PendingExchange(String requestId, Supplier<String> step, Runnable end) {}
