package org.quetzalshunt.server.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Requests that a caller sends before it has the response to its request before. */
final class PipelinedRequestsTest {
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int MAXIMUM_BODY_BYTES = 1_000;
    private static final int HASTY_MILLIS = 200;
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final HttpLimits LIMITS = new HttpLimits(2_048, MAXIMUM_BODY_BYTES, 15_000, 5_000);

    /** How the response to the first request is written. */
    private enum FirstResponse {
        WHOLE("content-length: 5\r\nconnection: keep-alive\r\n\r\nfirst"),
        STREAM("transfer-encoding: chunked\r\nconnection: keep-alive\r\n\r\n5\r\nfirst\r\n0\r\n\r\n");

        private final String bytes;

        FirstResponse(String framed) {
            this.bytes = "HTTP/1.1 200 OK\r\n" + framed;
        }

        private void begin(HttpExchange exchange) {
            if (this == STREAM) {
                exchange.begin(200, Map.of());
            }
        }

        private void end(HttpExchange exchange) {
            byte[] body = "first".getBytes(StandardCharsets.UTF_8);
            if (this == WHOLE) {
                exchange.respond(200, Map.of(), body);
                return;
            }
            exchange.write(body);
            exchange.end();
        }
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final LinkedBlockingQueue<HttpExchange> received = new LinkedBlockingQueue<>();
    private final HttpServer server =
            HttpServer.start(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), LIMITS, received::add);
    /** Server that gives requests little time to arrive. */
    private final HttpServer hasty = HttpServer.start(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            new HttpLimits(2_048, MAXIMUM_BODY_BYTES, HASTY_MILLIS, 5_000),
            received::add);

    @AfterEach
    void close() {
        server.close();
        hasty.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private HttpExchange next() throws Exception {
        HttpExchange exchange = received.poll(5, TimeUnit.SECONDS);
        assertThat(exchange).isNotNull();
        return exchange;
    }

    private void run(HttpExchange exchange, Consumer<HttpExchange> action) throws Exception {
        group.next().submit(() -> action.accept(exchange)).sync();
    }

    private static String request(String method, String headers) {
        return method + " /x HTTP/1.1\r\nhost: a\r\n" + headers + "\r\n";
    }

    static Stream<Arguments> rejectedRequests() {
        String large = "y".repeat(MAXIMUM_BODY_BYTES + 1);
        String chunk = Integer.toHexString(large.length()) + "\r\n" + large + "\r\n0\r\n\r\n";
        return Stream.of(
                        Arguments.of(413, request("POST", "content-length: 5000\r\n")),
                        Arguments.of(413, request("POST", "content-length: " + large.length() + "\r\n") + large),
                        Arguments.of(413, request("POST", "content-length: 5000\r\nexpect: 100-continue\r\n")),
                        Arguments.of(413, request("POST", "content-length: 5000\r\nconnection: close\r\n")),
                        Arguments.of(413, request("POST", "transfer-encoding: chunked\r\n") + chunk),
                        Arguments.of(431, request("GET", "a: " + "y".repeat(3_000) + "\r\n")),
                        Arguments.of(400, request("GET", "no colon\r\n")),
                        Arguments.of(400, request("POST", "content-length: 1\r\ncontent-length: 2\r\n")),
                        Arguments.of(
                                400, request("POST", "content-length: 3\r\ntransfer-encoding: chunked\r\n") + "0\r\n"),
                        Arguments.of(400, request("POST", "transfer-encoding: chunked\r\n") + "zz\r\n"))
                .flatMap(each -> Stream.of(FirstResponse.values())
                        .map(first -> Arguments.of(first, each.get()[0], each.get()[1])));
    }

    /**
     * Guards against a rejection that is written as soon as its request is received: the caller takes it for the
     * response to its request before, and the response to that one for the response to the next. In a stream, it ended
     * the connection.
     */
    @ParameterizedTest
    @MethodSource("rejectedRequests")
    void rejectionFollowsTheResponseToTheRequestBefore(FirstResponse first, int status, String rejected)
            throws Exception {
        try (KeptConnection connection = KeptConnection.open(server.port(), BUFFER_BYTES)) {
            connection.send(request("GET", ""));
            HttpExchange exchange = next();
            run(exchange, first::begin);
            connection.send(rejected);
            Thread.sleep(100);
            run(exchange, first::end);

            String responses = connection.readAll();
            assertThat(responses).startsWith(first.bytes + "HTTP/1.1 " + status + " ");
            assertThat(responses.substring(first.bytes.length())).contains("connection: close\r\n");
            assertThat(responses.split("HTTP/1\\.1 ", -1)).hasLength(3);
            assertThat(received).isEmpty();
        }
    }

    /**
     * Guards against an interim response that is written into the response to the request before. In a stream, it ended
     * the connection.
     */
    @ParameterizedTest
    @EnumSource(FirstResponse.class)
    void continueFollowsTheResponseToTheRequestBefore(FirstResponse first) throws Exception {
        try (KeptConnection connection = KeptConnection.open(server.port(), BUFFER_BYTES)) {
            connection.send(request("GET", ""));
            HttpExchange exchange = next();
            run(exchange, first::begin);
            connection.send(request("POST", "content-length: 4\r\nexpect: 100-continue\r\n"));
            Thread.sleep(100);
            run(exchange, first::end);

            assertThat(connection.readUntil("100 Continue\r\n\r\n")).isEqualTo(first.bytes + CONTINUE);
            connection.send("body");
            HttpExchange second = next();
            assertThat(second.body()).isEqualTo("body".getBytes(StandardCharsets.UTF_8));
            run(second, FirstResponse.WHOLE::end);
            assertThat(connection.readUntil("first")).isEqualTo(FirstResponse.WHOLE.bytes);
        }
    }

    /** Guards against a body that is expected for ever: its caller sends it only when it is told to. */
    @Test
    void continueIsSentAtOnceWithoutARequestBefore() throws Exception {
        try (KeptConnection connection = KeptConnection.open(server.port(), BUFFER_BYTES)) {
            connection.send(request("POST", "content-length: 4\r\nexpect: 100-continue\r\n"));

            assertThat(connection.readUntil("100 Continue\r\n\r\n")).isEqualTo(CONTINUE);
        }
    }

    /** Guards against an interim response to a caller that has sent its body without waiting for it. */
    @Test
    void noContinueIsSentForABodyThatWasReceived() throws Exception {
        try (KeptConnection connection = KeptConnection.open(server.port(), BUFFER_BYTES)) {
            connection.send(request("GET", ""));
            HttpExchange exchange = next();
            connection.send(request("POST", "content-length: 4\r\nexpect: 100-continue\r\n") + "body");
            Thread.sleep(100);
            run(exchange, FirstResponse.WHOLE::end);
            run(next(), FirstResponse.WHOLE::end);

            assertThat(connection.readUntil("firstHTTP") + connection.readUntil("first"))
                    .isEqualTo(FirstResponse.WHOLE.bytes + FirstResponse.WHOLE.bytes);
        }
    }

    /**
     * Guards against a request whose response is lost because its caller sends the next request slowly: the time limit
     * of the next one closed the connection while the first was in progress.
     */
    @ParameterizedTest
    @EnumSource(FirstResponse.class)
    void slowRequestIsCutOffAfterTheResponseToTheRequestBefore(FirstResponse first) throws Exception {
        try (KeptConnection connection = KeptConnection.open(hasty.port(), BUFFER_BYTES)) {
            connection.send(request("GET", ""));
            HttpExchange exchange = next();
            run(exchange, first::begin);
            connection.send(request("POST", "content-length: 4\r\n") + "b");
            Thread.sleep(3 * HASTY_MILLIS);
            run(exchange, first::end);

            assertThat(connection.readAll()).isEqualTo(first.bytes);
        }
    }

    /** Guards against output of an exchange that is written after its end, into the response to the next request. */
    @ParameterizedTest
    @EnumSource(FirstResponse.class)
    void outputAfterTheEndOfAnExchangeIsDropped(FirstResponse first) throws Exception {
        try (KeptConnection connection = KeptConnection.open(server.port(), BUFFER_BYTES)) {
            connection.send(request("GET", "") + request("GET", ""));
            HttpExchange late = next();
            run(late, first::begin);
            run(late, first::end);
            HttpExchange second = next();
            run(late, PipelinedRequestsTest::writeEverything);
            run(second, first::begin);
            run(late, PipelinedRequestsTest::writeEverything);
            run(second, first::end);
            run(late, PipelinedRequestsTest::writeEverything);
            connection.send(request("GET", "connection: close\r\n"));
            run(next(), exchange -> exchange.respond(204, Map.of(), new byte[0]));

            assertThat(connection.readAll())
                    .isEqualTo(first.bytes + first.bytes + "HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n");
        }
    }

    /** What a handler may still do for a request that was ended by a stop, a deadline or its caller. */
    private static void writeEverything(HttpExchange exchange) {
        byte[] body = "late".getBytes(StandardCharsets.UTF_8);
        exchange.begin(200, Map.of());
        exchange.write(body);
        exchange.respond(503, Map.of(), body);
        exchange.end();
        exchange.abort();
    }

    /**
     * Guards against a body that is sent for a response that has none, which the caller reads as the beginning of the
     * response to its next request.
     */
    @ParameterizedTest
    @CsvSource({"HEAD, 200", "HEAD, 503", "GET, 204", "GET, 304", "POST, 204"})
    void responseWithoutABodyIsFollowedByTheNextOne(String method, int status) throws Exception {
        for (FirstResponse next : FirstResponse.values()) {
            try (KeptConnection connection = KeptConnection.open(server.port(), BUFFER_BYTES)) {
                connection.send(request(method, "") + request(method, "") + request("GET", "connection: close\r\n"));
                byte[] body = "body".getBytes(StandardCharsets.UTF_8);
                run(next(), exchange -> exchange.respond(status, Map.of(), body));
                run(next(), exchange -> {
                    exchange.begin(status, Map.of());
                    exchange.write(body);
                    exchange.end();
                });
                HttpExchange last = next();
                run(last, next::begin);
                run(last, next::end);

                String responses = connection.readAll();
                assertThat(responses).doesNotContain("body");
                assertThat(responses)
                        .matches("(?s)(HTTP/1.1 " + status + " [^\r]*\r\n([^\r]+\r\n)*\r\n){2}"
                                + "HTTP/1.1 200 OK\r\n([^\r]+\r\n)*\r\n(5\r\n)?first(\r\n0\r\n\r\n)?");
            }
        }
    }

    /** Guards against responses in another order than that of their requests, and against a request without one. */
    @Test
    void responsesAreInTheOrderOfTheRequests() throws Exception {
        try (KeptConnection connection = KeptConnection.open(server.port(), BUFFER_BYTES)) {
            StringBuilder requests = new StringBuilder();
            StringBuilder expected = new StringBuilder();
            for (int number = 0; number < 17; number++) {
                String body = "body " + number;
                requests.append(request("POST", "content-length: " + body.length() + "\r\n"))
                        .append(body);
                expected.append("HTTP/1.1 200 OK\r\ncontent-length: " + body.length()
                        + "\r\nconnection: keep-alive\r\n\r\n" + body);
            }
            connection.send(requests.toString());
            for (int number = 0; number < 17; number++) {
                run(next(), exchange -> exchange.respond(200, Map.of(), exchange.body()));
            }

            assertThat(connection.readUntil("body 16")).isEqualTo(expected.toString());
        }
    }
}
