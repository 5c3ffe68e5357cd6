package org.quetzalshunt.server.sidecar;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.http.HttpHandler;
import org.quetzalshunt.server.http.HttpLimits;
import org.quetzalshunt.server.http.HttpServer;

/** An endpoint with scripted responses by method and path, which records every request. */
final class FakeEndpoint {
    static final String CHAT = "POST /v1/chat/completions";
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, HttpHandler> scripts = new ConcurrentHashMap<>();
    private final List<HttpExchange> requests = new CopyOnWriteArrayList<>();
    private final HttpServer server;

    private FakeEndpoint() {
        server = HttpServer.start(
                group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), HttpLimits.defaults(), this::handle);
    }

    static FakeEndpoint start() {
        FakeEndpoint endpoint = new FakeEndpoint();
        endpoint.on("GET /engine/load", exchange -> exchange.respondJson(STATUS_OK, "{\"slots\":4}"));
        endpoint.on("GET /engine/cache", exchange -> exchange.respondJson(STATUS_OK, "{\"entries\":[]}"));
        return endpoint;
    }

    /** Sets the response for a method and a path prefix; the longest matching prefix applies. */
    FakeEndpoint on(String methodAndPath, HttpHandler script) {
        scripts.put(methodAndPath, script);
        return this;
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
    }

    List<HttpExchange> requests(String methodAndPath) {
        return requests.stream()
                .filter(exchange -> requestLine(exchange).startsWith(methodAndPath))
                .toList();
    }

    /** Runs an action on the event loop on which responses are written, and waits for it. */
    void run(Runnable action) {
        group.next().submit(action).syncUninterruptibly();
    }

    /** Waits after {@link #crash()} until connections are refused: the socket closes after the event loop's next select. */
    void awaitUnreachable() {
        InetSocketAddress address = address();
        FakeEntry.await(() -> isRefused(address));
    }

    /** Closes every connection and accepts no more; may be called by a script. */
    void crash() {
        server.close();
    }

    void close() {
        group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** Sends server-sent events, one for each data text. */
    static void sendEvents(HttpExchange exchange, String... data) {
        if (!exchange.started()) {
            exchange.begin(STATUS_OK, Map.of("content-type", "text/event-stream"));
        }
        for (String event : data) {
            exchange.write(("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
        }
    }

    private void handle(HttpExchange exchange) {
        requests.add(exchange);
        scripts.keySet().stream()
                .filter(prefix -> requestLine(exchange).startsWith(prefix))
                .max((left, right) -> Integer.compare(left.length(), right.length()))
                .ifPresentOrElse(
                        prefix -> scripts.get(prefix).handle(exchange),
                        () -> exchange.respondText(STATUS_NOT_FOUND, "no script"));
    }

    private static boolean isRefused(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address);
            return false;
        } catch (ConnectException exception) {
            return true;
        } catch (SocketException exception) {
            // Closed while it was being opened; the next connection tells.
            return false;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static String requestLine(HttpExchange exchange) {
        return exchange.method() + " " + exchange.uri();
    }
}
