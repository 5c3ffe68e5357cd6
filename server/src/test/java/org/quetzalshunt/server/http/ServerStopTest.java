package org.quetzalshunt.server.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Connections of callers while a server stops. */
final class ServerStopTest {
    private static final int SMALL_BUFFER_BYTES = 8 * 1024;
    private static final int LARGE_BYTES = 8_000_000;
    private static final HttpLimits LIMITS = new HttpLimits(8_192, 1_000, 15_000, 5_000);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final LinkedBlockingQueue<HttpExchange> received = new LinkedBlockingQueue<>();
    private final List<String> paths = new CopyOnWriteArrayList<>();
    private volatile boolean stopping;
    private final HttpServer server = HttpServer.start(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            LIMITS,
            this::receive,
            CallerMemory.unlimited(),
            () -> stopping ? ConnectionReuse.ENDED : ConnectionReuse.ALLOWED);

    private void receive(HttpExchange exchange) {
        paths.add(exchange.path());
        received.add(exchange);
    }

    @AfterEach
    void close() {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private KeptConnection connect() throws Exception {
        return KeptConnection.open(server.port(), SMALL_BUFFER_BYTES);
    }

    private void onNextExchange(Consumer<HttpExchange> action) throws Exception {
        HttpExchange exchange = received.poll(5, TimeUnit.SECONDS);
        group.next().submit(() -> action.accept(exchange)).sync();
    }

    private static String request(String path) {
        return "GET " + path + " HTTP/1.1\r\nhost: a\r\n\r\n";
    }

    private static void respond(HttpExchange exchange) {
        exchange.respond(200, Map.of(), "done".getBytes(StandardCharsets.UTF_8));
    }

    /** Guards against a caller that is not told to reconnect, since its request arrived before the stop. */
    @Test
    void responseToARequestFromBeforeTheStopClosesItsConnection() throws Exception {
        try (KeptConnection connection = connect()) {
            connection.send(request("/1"));
            HttpExchange exchange = received.poll(5, TimeUnit.SECONDS);
            stopping = true;
            group.next().submit(() -> respond(exchange)).sync();

            String response = connection.readAll();
            assertThat(response).contains("connection: close\r\n");
            assertThat(response).endsWith("\r\n\r\ndone");
        }
    }

    /** Guards against a stream whose caller sends its next request to a stopping server: its head could not tell it. */
    @Test
    void streamFromBeforeTheStopClosesItsConnectionAfterItsEnd() throws Exception {
        try (KeptConnection connection = connect()) {
            connection.send(request("/1"));
            onNextExchange(exchange -> {
                exchange.begin(200, Map.of());
                exchange.write("a".getBytes(StandardCharsets.UTF_8));
                stopping = true;
                exchange.end();
            });

            assertThat(connection.readAll()).endsWith("1\r\na\r\n0\r\n\r\n");
        }
    }

    /** Guards against a reset, caused by bytes that were not read, that destroys the end of a response. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void responseArrivesWholeBesideARequestThatIsNotRun(boolean announced) throws Exception {
        try (KeptConnection connection = connect()) {
            connection.send(request("/1"));
            HttpExchange exchange = received.poll(5, TimeUnit.SECONDS);
            stopping = announced;
            group.next().submit(() -> exchange.begin(200, Map.of())).sync();
            stopping = true;
            group.next().submit(() -> writeAndEnd(exchange)).sync();
            connection.send(request("/2"));
            Thread.sleep(200);
            connection.send(request("/3"));

            String response = connection.readAll();
            assertThat(response.length()).isGreaterThan(LARGE_BYTES);
            assertThat(response).endsWith("\r\n0\r\n\r\n");
            assertThat(paths).containsExactly("/1");
        }
    }

    private static void writeAndEnd(HttpExchange exchange) {
        exchange.write(new byte[LARGE_BYTES]);
        exchange.end();
    }

    /** Guards against a pipelined request that was read, so that its caller may not send it again, and gets no answer. */
    @Test
    void pipelinedRequestBehindAStreamIsAnswered() throws Exception {
        try (KeptConnection connection = connect()) {
            connection.send(request("/1"));
            HttpExchange exchange = received.poll(5, TimeUnit.SECONDS);
            group.next().submit(() -> exchange.begin(200, Map.of())).sync();
            connection.send(request("/2"));
            Thread.sleep(100);
            stopping = true;
            group.next().submit(exchange::end).sync();
            onNextExchange(ServerStopTest::respond);

            assertThat(connection.readAll()).contains("\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n");
            assertThat(paths).containsExactly("/1", "/2");
        }
    }

    /** Guards against bytes of a response that wait for a slow caller and are discarded with an idle connection. */
    @Test
    void idleConnectionIsClosedAfterItsResponseIsWritten() throws Exception {
        try (KeptConnection connection = connect()) {
            connection.send(request("/1"));
            onNextExchange(exchange -> exchange.respond(200, Map.of(), new byte[LARGE_BYTES]));
            group.next().submit(server::closeIdle).sync();

            assertThat(connection.readAll().length()).isGreaterThan(LARGE_BYTES);
        }
    }
}
