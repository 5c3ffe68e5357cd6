package org.quetzalshunt.server.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes of a server that are no response by RFC 9112, and unusual responses that are. */
final class MalformedResponseTest {
    /** Result of a call: a whole response, or a failure. */
    private sealed interface Result {
        record Answered(int status, List<Map.Entry<String, String>> headers, String body) implements Result {}

        record Failed(String reason, boolean requestMayHaveArrived) implements Result {}
    }

    private static final CallTimeouts TIMEOUTS = new CallTimeouts(1_000, 3_000, 10_000);
    private static final long PART_PAUSE_MILLIS = 5;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String REST = "x-stamp: s\r\ncontent-length: 4\r\n\r\nbody";
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = HttpClient.create(group);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Guards against a status that is none and reaches the caller, such as 000, which was passed on as 0. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000",
                "001",
                "099",
                "600",
                "999",
                "0",
                "20",
                "0200",
                "2000",
                "2147483647",
                "+200",
                "-200",
                "+20",
                "2e2",
                "0x1",
                "2O0",
                "\u00b2\u00b2\u00b2"
            })
    void statusThatIsNoneIsNoResponse(String status) throws Exception {
        assertMalformed("HTTP/1.1 " + status + " OK\r\n" + REST);
        assertMalformed("HTTP/1.1 " + status + "\r\n" + REST);
    }

    /** Guards against a status line of another protocol that is taken for one of HTTP/1.1. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/2.0", "HTTP/0.9", "HTTP/11.1", "HTTP/1.10", "HTTP/1", "http/1.1", "ICY/1.1", "RTSP/1.0"})
    void otherProtocolIsNoResponse(String protocol) throws Exception {
        assertMalformed(protocol + " 200 OK\r\n" + REST);
    }

    static Stream<String> namesWithBlanks() {
        return Stream.of(
                "x odd",
                "x\todd",
                "x-odd ",
                "x-odd\t",
                " x-odd",
                "content length",
                "content-length ",
                "transfer-encoding ",
                "x  odd");
    }

    /** Guards against a field name that is cut at a blank: the caller got a field that the server did not send. */
    @ParameterizedTest
    @MethodSource("namesWithBlanks")
    void nameWithABlankIsNoResponse(String name) throws Exception {
        assertMalformed(OK + name + ": 2\r\n" + REST);
    }

    /** Guards against a line without a colon that is read as a field. */
    @ParameterizedTest
    @ValueSource(strings = {"x odd", "x\todd", "x-odd", " "})
    void lineWithoutAColonIsNoResponse(String line) throws Exception {
        assertMalformed(OK + line + "\r\n" + REST);
    }

    static Stream<Integer> octetsOutsideTokens() {
        return IntStream.rangeClosed(0, 255)
                .filter(octet -> !isTokenCharacter(octet))
                .filter(octet -> octet != ':' && octet != '\n')
                .boxed();
    }

    private static boolean isTokenCharacter(int octet) {
        return (octet >= 'a' && octet <= 'z')
                || (octet >= 'A' && octet <= 'Z')
                || (octet >= '0' && octet <= '9')
                || TOKEN_PUNCTUATION.indexOf(octet) >= 0;
    }

    /** Guards against a field name with a control byte, or another that no token has, that is passed on. */
    @ParameterizedTest
    @MethodSource("octetsOutsideTokens")
    void nameThatIsNoTokenIsNoResponse(int octet) throws Exception {
        assertMalformed(OK + "x" + (char) octet + "odd: 1\r\n" + REST);
    }

    /** Guards against a line that begins with a blank and is joined with the field before it, such as a signature. */
    @ParameterizedTest
    @ValueSource(strings = {" x-odd: 1", "\tx-odd: 1", " ", " folded"})
    void lineThatBeginsWithABlankIsNoResponse(String line) throws Exception {
        assertMalformed(OK + "x-stamp: s\r\n" + line + "\r\ncontent-length: 4\r\n\r\nbody");
        assertMalformed(OK + "content-length: 4\r\nx-stamp: s\n" + line + "\n\nbody");
        assertMalformed("HTTP/1.1 103 Hints\r\nx: 1\r\n" + line + "\r\n\r\n" + OK + REST);
    }

    /** Guards against a malformed line that is not seen because it is received in parts. */
    @Test
    void malformedHeadIsSeenAtEachBoundaryOfItsParts() throws Exception {
        for (String line : List.of(" x-odd: 1", "x odd: 1", "x-odd : 1")) {
            String response = OK + "x-stamp: s\r\n" + line + "\r\ncontent-length: 4\r\n\r\nbody";
            for (int part = 1; part < response.indexOf("content"); part++) {
                assertMalformed(response.substring(0, part), response.substring(part));
            }
        }
    }

    /** Guards against a body, or a value, that is taken for lines of a head. */
    @ParameterizedTest
    @ValueSource(strings = {" x: ", "\n x", "a\n\t", "\r\n "})
    void bodyWithBlanksIsDelivered(String body) throws Exception {
        String head = OK + "x-blank:  a  b\r\n";
        String whole = head + "content-length: " + body.length() + "\r\n\r\n" + body;
        for (int part = 1; part < whole.length(); part++) {
            assertThat(((Result.Answered) send(whole.substring(0, part), whole.substring(part))).body())
                    .isEqualTo(body);
        }
        String chunked = head + "transfer-encoding: chunked\r\n\r\n" + body.length() + "\r\n" + body + "\r\n0\r\n\r\n";
        for (int part = 1; part < chunked.length(); part++) {
            assertThat(((Result.Answered) send(chunked.substring(0, part), chunked.substring(part))).body())
                    .isEqualTo(body);
        }
    }

    /** Guards against a field without a name that is passed on. */
    @Test
    void emptyNameIsNoResponse() throws Exception {
        assertMalformed(OK + ": 1\r\n" + REST);
    }

    static Stream<String> malformedHeads() {
        return Stream.of("000 None\r\n", "099 None\r\n", "103 Hints\r\nx odd: 1\r\n", "103 Hints\r\nx\u0001odd: 1\r\n")
                .map(head -> "HTTP/1.1 " + head + "\r\n");
    }

    /** Guards against a malformed interim response, behind which the next one is taken for that to the request. */
    @ParameterizedTest
    @MethodSource("malformedHeads")
    void malformedInterimResponseIsNoResponse(String interim) throws Exception {
        assertMalformed(interim + OK + REST);
    }

    /** Guards against a malformed response with the id of another request, which is skipped as a copy is. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 None\r\n",
                "HTTP/1.1 200 OK\r\nx odd: 1\r\n",
                "HTTP/1.1 200 OK\r\nx\u0001odd: 1\r\n"
            })
    void malformedResponseIsNotSkipped(String head) throws Exception {
        assertMalformed(head + "x-request-id: other\r\ncontent-length: 0\r\n\r\n" + OK + "x-request-id: a\r\n" + REST);
    }

    /** Guards against a malformed trailer section behind which a body counts as whole. */
    @ParameterizedTest
    @ValueSource(
            strings = {"x odd: 1", "x-odd : 1", "x\todd: 1", " x: 1", "x\u0001odd: 1", "x\u0000odd: 1", ": 1", "x-odd"})
    void malformedTrailerIsNoEndOfAResponse(String trailer) throws Exception {
        assertMalformed(OK + "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + trailer + "\r\n\r\n");
    }

    static Stream<Integer> statuses() {
        return Stream.of(200, 299, 300, 399, 400, 429, 500, 503, 599);
    }

    /** Guards against a proper status that is refused. */
    @ParameterizedTest
    @MethodSource("statuses")
    void properStatusIsDelivered(int status) throws Exception {
        assertThat(send("HTTP/1.1 " + status + " Status\r\n" + REST)).isEqualTo(answered(status));
    }

    /** Guards against a proper status line that is refused: no reason, one that holds anything, HTTP/1.0. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 ",
                "HTTP/1.1 200",
                "HTTP/1.1 200 000",
                "HTTP/1.1 200 All is well: \u00e9\t!",
                "HTTP/1.0 200 OK"
            })
    void properStatusLineIsDelivered(String statusLine) throws Exception {
        assertThat(send(statusLine + "\r\n" + REST)).isEqualTo(answered(200));
    }

    /** Guards against a field that is changed or refused although its name is a token and its value is surrounded by blanks. */
    @Test
    void properFieldsAreDelivered() throws Exception {
        String alphanumeric = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
        String name = TOKEN_PUNCTUATION + alphanumeric;

        Result result = send(OK + name + ":  two words \t\r\nx-bare:v\r\nx-empty:\r\n" + REST);

        assertThat(result)
                .isEqualTo(answered(
                        200,
                        List.of(Map.entry(name, "two words"), Map.entry("x-bare", "v"), Map.entry("x-empty", ""))));
    }

    /** Guards against a proper response that is refused because of what stands around it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 103 Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 199 \r\n\r\n"
            })
    void responseBehindProperInterimResponsesIsDelivered(String interim) throws Exception {
        assertThat(send(interim + OK + REST)).isEqualTo(answered(200));
    }

    /** Guards against proper trailers that are refused. */
    @Test
    void responseWithProperTrailersIsDelivered() throws Exception {
        Result result =
                send(OK + "x-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n!x:  1 \r\ny:\r\n\r\n");

        assertThat(((Result.Answered) result).body()).isEqualTo("body");
    }

    private static Result answered(int status) {
        return answered(status, List.of());
    }

    private static Result answered(int status, List<Map.Entry<String, String>> first) {
        List<Map.Entry<String, String>> headers = new ArrayList<>(first);
        headers.add(Map.entry("x-stamp", "s"));
        headers.add(Map.entry("content-length", "4"));
        return new Result.Answered(status, headers, "body");
    }

    /** Guards against a faulty server that operators cannot find, since its bytes are not counted. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 None\r\n",
                "HTTP/1.1 200 OK\r\nx odd: 1\r\n",
                "HTTP/1.1 200 OK\r\nx\u0001odd: 1\r\n"
            })
    void malformedResponseIsCounted(String head) throws Exception {
        assertMalformed(head + REST);

        assertThat(group.next()
                        .submit(() -> client.unmatched().count(UnmatchedResponses.Kind.BYTES))
                        .syncUninterruptibly()
                        .getNow())
                .isEqualTo(1);
    }

    /** Asserts that the request gets no response, may have run, and that the connection is not used again. */
    private void assertMalformed(String... parts) throws Exception {
        Result result = send(parts);

        assertThat(result).isInstanceOf(Result.Failed.class);
        Result.Failed failed = (Result.Failed) result;
        assertThat(failed.reason()).startsWith("response cannot be decoded");
        assertThat(failed.requestMayHaveArrived()).isTrue();
        assertThat(group.next()
                        .submit(() -> client.closeIdle(1))
                        .syncUninterruptibly()
                        .getNow())
                .isEqualTo(0);
    }

    /** Sends a request to a server that responds with the given bytes, with pauses between their parts. */
    private Result send(String... parts) throws IOException {
        try (ScriptedServer server = new ScriptedServer((connection, request, out) -> respond(out, parts))) {
            CompletableFuture<Result> result = new CompletableFuture<>();
            OutboundRequest request = new OutboundRequest(
                    server.address(), "GET", "/", new DefaultHttpHeaders(), new byte[0], Optional.of("a"));
            group.next()
                    .execute(() ->
                            client.send(request, TIMEOUTS, MalformedResponseTest::match, new ResultListener(result)));
            return result.orTimeout(5, TimeUnit.SECONDS).join();
        }
    }

    private static void respond(OutputStream out, String... parts) throws IOException {
        for (String part : parts) {
            out.write(part.getBytes(StandardCharsets.ISO_8859_1));
            try {
                TimeUnit.MILLISECONDS.sleep(PART_PAUSE_MILLIS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static ResponseMatch match(HttpHeaders headers) {
        return headers.contains("x-request-id", "other", true) ? ResponseMatch.FOREIGN : ResponseMatch.OWN;
    }

    private static final class ResultListener implements HttpResponseListener {
        private final CompletableFuture<Result> result;
        private final StringBuilder body = new StringBuilder();
        private int status;
        private List<Map.Entry<String, String>> headers = List.of();

        ResultListener(CompletableFuture<Result> result) {
            this.result = result;
        }

        @Override
        public void onHead(int responseStatus, HttpHeaders responseHeaders) {
            status = responseStatus;
            headers = responseHeaders.entries().stream()
                    .map(entry -> Map.entry(entry.getKey(), entry.getValue()))
                    .toList();
        }

        @Override
        public void onChunk(byte[] data) {
            body.append(new String(data, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onEnd() {
            result.complete(new Result.Answered(status, headers, body.toString()));
        }

        @Override
        public void onFailure(String reason, boolean requestMayHaveArrived) {
            result.complete(new Result.Failed(reason, requestMayHaveArrived));
        }
    }
}
