package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.quetzalshunt.server.http.ConnectionUse;
import org.quetzalshunt.server.http.UnmatchedResponse;
import org.quetzalshunt.server.http.UnmatchedResponses;

final class UnmatchedReportsTest {
    private static final UnmatchedResponse FOREIGN = new UnmatchedResponse(
            UnmatchedResponses.Kind.FOREIGN,
            new InetSocketAddress("127.0.0.1", 8_080),
            new ConnectionUse(40_376, 3),
            Optional.of("b"),
            Optional.of(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE)));

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final DecisionLog log = DecisionLog.start("vm-1", new PrintStream(out, true, StandardCharsets.UTF_8));
    private final AtomicLong millis = new AtomicLong(1_000);

    private List<String> awaitLines(int count) throws InterruptedException {
        for (int wait = 0;
                wait < 500 && out.toString(StandardCharsets.UTF_8).lines().count() < count;
                wait++) {
            Thread.sleep(10);
        }
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    /** Guards against a faulty server that fills the log by a response to no request with each request. */
    @Test
    void linesOfASecondAreBoundedAndTheRestIsCounted() throws InterruptedException {
        NodeClock clock = new NodeClock(() -> {}, millis::get, millis::get);
        UnmatchedReports reports = new UnmatchedReports(log, clock, new EvacuationDialect());
        for (int response = 0; response < 25; response++) {
            reports.onResponse(FOREIGN);
        }
        millis.addAndGet(1_000);
        reports.onResponse(FOREIGN);

        List<String> lines = awaitLines(11);

        assertThat(lines).hasSize(11);
        assertThat(lines.get(0))
                .contains("\"event\":\"response-unmatched\",\"kind\":\"foreign\",\"address\":\"127.0.0.1:8080\","
                        + "\"localPort\":40376,\"requestOnConnection\":3,\"request\":\"b\",\"status\":503");
        assertThat(lines.get(10)).contains("\"suppressedBefore\":15");
    }
}
