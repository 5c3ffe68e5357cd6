package org.quetzalshunt.standin.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.http.HttpLimits;
import org.quetzalshunt.server.http.HttpServer;
import org.quetzalshunt.wire.json.Json;

/**
 * Stand-in for a server of the platform: executes the requests that are addressed to it and records them. The response
 * to a request with a token usage is a stream of events, to any other request a short body. The header {@code
 * x-answer-bytes} of a request enlarges each event, or the body, by that many bytes; {@code x-cut-after-ms} closes the
 * connection of a stream after that time instead of at the end, and {@code x-work-ms} delays the response to any other
 * request, or the end of a stream.
 */
public final class ServerStandin implements AutoCloseable {
    /**
     * A request that was executed.
     *
     * @param atMillis start of the execution, in Unix milliseconds
     * @param stamp response stamp of this execution alone
     * @param status status of the response to it
     */
    public record ExecutedRequest(
            String id,
            String path,
            Map<String, String> headers,
            String body,
            long atMillis,
            String stamp,
            int status) {}

    private static final int EVENTS_PER_STREAM = 3;
    private static final int SLOTS = 8;
    private static final long RESTART_DELAY_MILLIS = 900;
    private static final double REFUSED_WHILE_REPEATING = 0.3;
    private static final double FAILED_WHILE_REPEATING = 0.2;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<ExecutedRequest> runs = new ArrayList<>();
    private final String id;
    private final int port;
    private final Random random;
    private volatile HttpServer server;
    private volatile ServerFault fault = ServerFault.NONE;

    private ServerStandin(String id) {
        this.id = id;
        random = new Random(id.hashCode());
        server = listen(0);
        port = server.port();
    }

    private HttpServer listen(int listenPort) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), listenPort);
        return HttpServer.start(
                group,
                address,
                HttpLimits.defaults(),
                this::handle,
                pipeline -> ResponseRepeater.addTo(pipeline, () -> fault, random));
    }

    /** Starts a server on a free port of the loopback address. */
    public static ServerStandin start(String id) {
        return new ServerStandin(id);
    }

    /** Instance id of the server. */
    public String id() {
        return id;
    }

    /** Sets the fault of all later requests; {@code NONE} ends it. */
    public void setFault(ServerFault newFault) {
        fault = newFault;
    }

    /** Requests executed so far. */
    public List<ExecutedRequest> executedRequests() {
        return group.next()
                .submit(() -> List.copyOf(runs))
                .syncUninterruptibly()
                .getNow();
    }

    /** Port that the server is bound to. */
    public int port() {
        return port;
    }

    /** Entry by which the server registers itself in the store. */
    public byte[] entry(String service, String state) {
        return entry(service, state, port);
    }

    /** Like {@link #entry(String, String)}, with the port of a proxy in front of the server. */
    public byte[] entry(String service, String state, int advertisedPort) {
        return Json.bytes(entryNode(service, state, advertisedPort));
    }

    /** Entry of a ready server in the given data centre that stays cold for {@code coldMillis}. */
    public byte[] entryIn(String dataCentre, String service, long coldMillis) {
        return Json.bytes(
                entryNode(service, "ready", port).put("zone", dataCentre).put("cold_remaining_ms", coldMillis));
    }

    private static ObjectNode entryNode(String service, String state, int advertisedPort) {
        return Json.object()
                .put("service", service)
                .put("address", "127.0.0.1:" + advertisedPort)
                .put("zone", "a")
                .put("version", "v1")
                .put("slots", SLOTS)
                .put("state", state)
                .put("cold_remaining_ms", 0)
                .put("born", 1)
                .put("sequence", 1);
    }

    private void handle(HttpExchange exchange) {
        String requestId = exchange.header("x-request-id").orElse("");
        if (!exchange.header("x-expect-instance").equals(Optional.of(id))) {
            exchange.respond(421, Map.of("x-request-id", requestId, "x-instance-id", id), new byte[0]);
            return;
        }
        if (fault == ServerFault.FULL || (fault.repeats() && random.nextDouble() < REFUSED_WHILE_REPEATING)) {
            exchange.respond(503, Map.of("x-request-id", requestId, "x-not-executed", "1"), new byte[0]);
            return;
        }
        Map<String, String> headers = new HashMap<>();
        exchange.headers().forEach(header -> headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
        String body = new String(exchange.body(), StandardCharsets.UTF_8);
        String stamp = "stamp-" + id + "-" + runs.size();
        boolean failed = fault.repeats() && random.nextDouble() < FAILED_WHILE_REPEATING;
        int status = failed ? 500 : 200;
        runs.add(new ExecutedRequest(
                requestId, exchange.path(), headers, body, System.currentTimeMillis(), stamp, status));
        answer(exchange, fault == ServerFault.WRONG_ID ? "another" : requestId, stamp, failed);
    }

    private void answer(HttpExchange exchange, String requestId, String stamp, boolean failed) {
        Map<String, String> head = new HashMap<>(Map.of("x-request-id", requestId));
        if (fault != ServerFault.UNSIGNED) {
            head.put("x-response-stamp", stamp);
        }
        if (failed) {
            exchange.respond(500, head, new byte[0]);
            return;
        }
        switch (fault) {
            case SILENT -> {}
            case ANSWER_LOST -> exchange.abort();
            case CRASH -> crash();
            case CUT -> respondPartially(exchange, head);
            default -> respondCompletely(exchange, head);
        }
    }

    /** Closes all connections without a response, and restarts after a short delay with the same id and address. */
    public void crash() {
        server.close();
        Thread restarter = new Thread(this::restart, id + " restarts");
        restarter.setDaemon(true);
        restarter.start();
    }

    private void restart() {
        try {
            Thread.sleep(RESTART_DELAY_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return;
        }
        server = listen(port);
    }

    private void respondCompletely(HttpExchange exchange, Map<String, String> head) {
        if (exchange.header("x-token-usage").isEmpty()) {
            byte[] body = ("done" + padding(exchange)).getBytes(StandardCharsets.UTF_8);
            afterWork(exchange, () -> exchange.respond(200, head, body));
            return;
        }
        exchange.begin(200, head);
        for (int event = 0; event < EVENTS_PER_STREAM; event++) {
            exchange.write(event(event, padding(exchange)));
        }
        Optional<String> cutAfterMillis = exchange.header("x-cut-after-ms");
        if (cutAfterMillis.isPresent()) {
            group.next().schedule(exchange::abort, Long.parseLong(cutAfterMillis.get()), TimeUnit.MILLISECONDS);
            return;
        }
        afterWork(exchange, exchange::end);
    }

    private void afterWork(HttpExchange exchange, Runnable action) {
        Optional<String> workMillis = exchange.header("x-work-ms");
        if (workMillis.isEmpty()) {
            action.run();
            return;
        }
        group.next().schedule(action, Long.parseLong(workMillis.get()), TimeUnit.MILLISECONDS);
    }

    private static void respondPartially(HttpExchange exchange, Map<String, String> head) {
        exchange.begin(200, head);
        exchange.write(event(0, padding(exchange)));
        exchange.abort();
    }

    private static byte[] event(int number, String padding) {
        return ("id: " + number + "\ndata: e" + number + padding + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private static String padding(HttpExchange exchange) {
        return "."
                .repeat(exchange.header("x-answer-bytes").map(Integer::parseInt).orElse(0));
    }

    @Override
    public void close() {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
