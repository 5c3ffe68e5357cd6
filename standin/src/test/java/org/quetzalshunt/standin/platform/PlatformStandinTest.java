package org.quetzalshunt.standin.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.Base64;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalshunt.standin.LocalHttp;
import org.quetzalshunt.standin.control.Fault;
import org.quetzalshunt.standin.control.FaultKind;

@Timeout(30)
final class PlatformStandinTest {
    private static final long RETENTION_MILLIS = 1_000;
    private static final long LIST_LAG_MILLIS = 500;
    private static final int APPENDS_PER_SECOND = 40;
    private static final int BURST = APPENDS_PER_SECOND / 4;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicLong clockMillis = new AtomicLong(1_000_000);
    private PlatformStandin platform;
    private LocalHttp http;

    @BeforeEach
    void start() {
        PlatformSettings settings =
                new PlatformSettings(APPENDS_PER_SECOND, RETENTION_MILLIS, LIST_LAG_MILLIS, 0, 1, Set.of("tutor/lost"));
        platform = PlatformStandin.start(group, new InetSocketAddress("127.0.0.1", 0), settings, clockMillis::get);
        http = LocalHttp.to(platform.port());
    }

    @AfterEach
    void stop() {
        platform.close();
        group.shutdownGracefully();
    }

    @Test
    void offsetsAreContiguousAndDataIsUnchanged() throws Exception {
        assertThat(append("one").body()).isEqualTo("{\"offset\":0}");
        assertThat(append("two").body()).isEqualTo("{\"offset\":1}");
        JsonNode read = read("from=1");
        assertThat(read.path("next").asLong()).isEqualTo(2);
        assertThat(read.path("records")).hasSize(1);
        assertThat(text(read.path("records").get(0))).isEqualTo("two");
    }

    @Test
    void readRespectsMaximumBytesButReturnsAtLeastOneRecord() throws Exception {
        append("0123456789");
        append("0123456789");
        append("0123456789");
        assertThat(read("from=0&maximumBytes=20").path("records")).hasSize(2);
        assertThat(read("from=0&maximumBytes=1").path("records")).hasSize(1);
    }

    @Test
    void readerAtTheEndIsWokenByAnAppend() throws Exception {
        CompletableFuture<HttpResponse<String>> reader = http.sendAsync("GET", "/log/s?from=0&waitMillis=60000", "");
        append("news");
        assertThat(reader.get().body()).contains("\"offset\":0");
    }

    @Test
    void oldRecordsAreDroppedFromTheFront() throws Exception {
        append("old");
        clockMillis.addAndGet(RETENTION_MILLIS + 1);
        append("young");
        JsonNode read = read("from=0");
        assertThat(read.path("first").asLong()).isEqualTo(1);
        assertThat(text(read.path("records").get(0))).isEqualTo("young");
    }

    @Test
    void appendsAboveTheLimitAreRejectedUntilTokensRefill() throws Exception {
        for (int i = 0; i < BURST; i++) {
            assertThat(append("x").statusCode()).isEqualTo(200);
        }
        HttpResponse<String> over = append("x");
        assertThat(over.statusCode()).isEqualTo(429);
        assertThat(over.headers().firstValue("retry-after")).isPresent();
        clockMillis.addAndGet(1_000 / APPENDS_PER_SECOND);
        assertThat(append("x").statusCode()).isEqualTo(200);
    }

    /**
     * Guards against a stand-in that drops the record of an append whose response is lost. The platform stores such a
     * record, so that a writer has to read the stream before it retries.
     */
    @Test
    void lostAnswerStillAppends() throws Exception {
        platform.set(Fault.next(FaultKind.LOST_ANSWER, 1));
        assertThrows(IOException.class, () -> append("kept"));
        assertThat(text(read("from=0").path("records").get(0))).isEqualTo("kept");
    }

    @ParameterizedTest
    @CsvSource({"outage, 503, 503", "refuse, 503, 200", "none, 200, 200"})
    void faultsRejectAppendsAndReads(String kind, int appendStatus, int readStatus) throws Exception {
        http.send("POST", "/standin/faults", "{\"kind\":\"" + kind + "\"}");
        assertThat(append("x").statusCode()).isEqualTo(appendStatus);
        assertThat(http.send("GET", "/log/s", "").statusCode()).isEqualTo(readStatus);
        platform.clearFaults();
        assertThat(read("from=0").path("next").asLong()).isEqualTo(appendStatus == 200 ? 1 : 0);
    }

    @Test
    void outageEndsAfterItsDuration() throws Exception {
        platform.set(Fault.lasting(FaultKind.OUTAGE, 200));
        assertThat(append("x").statusCode()).isEqualTo(503);
        clockMillis.addAndGet(200);
        assertThat(append("x").statusCode()).isEqualTo(200);
    }

    @Test
    void vmListLagsAndCanFreeze() throws Exception {
        http.send("PUT", "/standin/vms/a", "{\"role\":\"entry\",\"state\":\"live\"}");
        assertThat(http.json("GET", "/vms", "").path("vms")).isEmpty();
        platform.set(Fault.untilCleared(FaultKind.LIST_FROZEN));
        clockMillis.addAndGet(LIST_LAG_MILLIS);
        assertThat(http.json("GET", "/vms", "").path("vms")).isEmpty();
        platform.clearFaults();
        assertThat(http.json("GET", "/vms", "").path("vms").get(0).path("name").asText())
                .isEqualTo("a");
    }

    @ParameterizedTest
    @CsvSource({"tutor/1, 200", "tutor, 404", "tutor/lost, 404"})
    void weightStoreRejectsUnknownVersions(String version, int status) throws Exception {
        assertThat(http.send("GET", "/weights/" + version, "").statusCode()).isEqualTo(status);
    }

    @Test
    void weightStoreRejectsLoadsAboveItsRate() throws Exception {
        assertThat(http.send("GET", "/weights/a/1", "").statusCode()).isEqualTo(200);
        assertThat(http.send("GET", "/weights/b/1", "").statusCode()).isEqualTo(429);
        clockMillis.addAndGet(1_000);
        assertThat(http.send("GET", "/weights/b/1", "").statusCode()).isEqualTo(200);
    }

    private HttpResponse<String> append(String text) throws IOException, InterruptedException {
        return http.send("POST", "/log/s", text);
    }

    private JsonNode read(String query) throws IOException, InterruptedException {
        return http.json("GET", "/log/s?" + query, "");
    }

    private static String text(JsonNode record) {
        return new String(
                Base64.getDecoder().decode(record.path("data").asText()), java.nio.charset.StandardCharsets.UTF_8);
    }
}
