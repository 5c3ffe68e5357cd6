package org.quetzalshunt.standin.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Map;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.http.HttpHandler;
import org.quetzalshunt.server.http.HttpLimits;
import org.quetzalshunt.server.http.HttpServer;
import org.quetzalshunt.wire.json.Json;

/**
 * HTTP server of a stand-in. Serves {@code /standin/faults}, {@code /standin/runs} and {@code /healthz} itself and
 * passes every other request to the handler of the stand-in.
 */
public final class StandinServer {
    private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");

    private final EventLoop loop;
    private final FaultInjector faults;
    private final RunLog runs;
    private final HttpHandler handler;
    private HttpServer server;

    private StandinServer(EventLoop loop, FaultInjector faults, RunLog runs, HttpHandler handler) {
        this.loop = loop;
        this.faults = faults;
        this.runs = runs;
        this.handler = handler;
    }

    /** Binds the address and serves all connections on one event loop. Must not be called on that loop. */
    public static StandinServer start(
            EventLoop loop, InetSocketAddress address, FaultInjector faults, RunLog runs, HttpHandler handler) {
        StandinServer standin = new StandinServer(loop, faults, runs, handler);
        standin.server = HttpServer.start(loop, address, HttpLimits.defaults(), standin::handle);
        return standin;
    }

    /** Port that the server is bound to. */
    public int port() {
        return server.port();
    }

    /** Stops listening and closes every connection. No request is served after this method returns. */
    public void close() {
        onLoop(server::close);
    }

    /** Activates a fault. It applies to every request handled after this method returns. */
    public void set(Fault fault) {
        onLoop(() -> faults.set(fault));
    }

    /** Deactivates all faults. */
    public void clearFaults() {
        onLoop(faults::clear);
    }

    /** Sends a JSON response. */
    public static void json(HttpExchange exchange, int status, byte[] body) {
        exchange.respond(status, JSON_HEADERS, body);
    }

    /** Sends an error response in the format of the OpenAI API. */
    public static void error(HttpExchange exchange, int status, String message) {
        json(exchange, status, errorBody(message));
    }

    /** Body of an error response in the format of the OpenAI API. */
    public static byte[] errorBody(String message) {
        var root = Json.object();
        root.putObject("error").put("message", message).put("type", "standin_error");
        return Json.bytes(root);
    }

    private void handle(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/standin/faults" -> handleFaultRequest(exchange);
            case "/standin/runs" -> json(exchange, 200, runs.toJson());
            case "/healthz" -> exchange.respondText(200, "ok");
            default -> {
                runs.recordHeaders(exchange);
                handler.handle(exchange);
            }
        }
    }

    private void handleFaultRequest(HttpExchange exchange) {
        if (!exchange.method().equals("POST")) {
            error(exchange, 405, "use POST");
            return;
        }
        faults.apply(exchange.body())
                .ifPresentOrElse(
                        problem -> error(exchange, 422, problem), () -> exchange.respond(204, Map.of(), new byte[0]));
    }

    private void onLoop(Runnable action) {
        if (loop.inEventLoop()) {
            action.run();
            return;
        }
        loop.submit(action).syncUninterruptibly();
    }
}
