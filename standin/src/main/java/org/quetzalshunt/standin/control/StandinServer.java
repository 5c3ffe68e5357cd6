package org.quetzalshunt.standin.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Map;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.http.HttpHandler;
import org.quetzalshunt.server.http.HttpLimits;
import org.quetzalshunt.server.http.HttpServer;
import org.quetzalshunt.wire.json.Json;

/** HTTP frame of a stand-in: serves {@code /standin/faults} and {@code /standin/runs}, hands on the rest. */
public final class StandinServer {
    private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");

    private final EventLoop loop;
    private final FaultSwitches faults;
    private final RunBook runs;
    private final HttpHandler handler;
    private HttpServer server;

    private StandinServer(EventLoop loop, FaultSwitches faults, RunBook runs, HttpHandler handler) {
        this.loop = loop;
        this.faults = faults;
        this.runs = runs;
        this.handler = handler;
    }

    /** Binds and starts to serve, all of it on one event loop. Must not be called on that loop. */
    public static StandinServer start(
            EventLoop loop, InetSocketAddress address, FaultSwitches faults, RunBook runs, HttpHandler handler) {
        StandinServer standin = new StandinServer(loop, faults, runs, handler);
        standin.server = HttpServer.start(loop, address, HttpLimits.defaults(), standin::handle);
        return standin;
    }

    /** Port in use. */
    public int port() {
        return server.port();
    }

    /** Stops to listen and breaks every connection; on return nothing more is served. */
    public void close() {
        onLoop(server::close);
    }

    /** Turns a fault on; on return it is in force. */
    public void set(Fault fault) {
        onLoop(() -> faults.set(fault));
    }

    /** Turns every fault off. */
    public void clearFaults() {
        onLoop(faults::clear);
    }

    /** Sends a whole JSON answer. */
    public static void json(HttpExchange exchange, int status, byte[] body) {
        exchange.respond(status, JSON_HEADERS, body);
    }

    /** Sends an error in the shape that OpenAI clients read. */
    public static void error(HttpExchange exchange, int status, String message) {
        json(exchange, status, errorBody(message));
    }

    /** Error in the shape that OpenAI clients read. */
    public static byte[] errorBody(String message) {
        var root = Json.object();
        root.putObject("error").put("message", message).put("type", "standin_error");
        return Json.bytes(root);
    }

    private void handle(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/standin/faults" -> orderFault(exchange);
            case "/standin/runs" -> json(exchange, 200, runs.toJson());
            case "/healthz" -> exchange.respondText(200, "ok");
            default -> {
                runs.sawHeaders(exchange);
                handler.handle(exchange);
            }
        }
    }

    private void orderFault(HttpExchange exchange) {
        if (!exchange.method().equals("POST")) {
            error(exchange, 405, "use POST");
            return;
        }
        faults.order(exchange.body())
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
