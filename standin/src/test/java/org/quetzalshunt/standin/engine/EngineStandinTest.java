package org.quetzalshunt.standin.engine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.standin.LocalHttp;
import org.quetzalshunt.standin.control.Fault;
import org.quetzalshunt.standin.control.FaultKind;
import org.quetzalshunt.wire.json.Json;

@Timeout(30)
final class EngineStandinTest {
    private static final String CHAT = "/v1/chat/completions";
    private static final EngineSettings QUICK = EngineSettings.defaults().withBatch(BatchSettings.quick());

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private EngineStandin engine;
    private LocalHttp http;

    @AfterEach
    void stop() {
        engine.close();
        group.shutdownGracefully();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void answerIsDerivedFromTheMessages(boolean stream) throws Exception {
        start(QUICK);
        ObjectNode body = request("How long is a throughstone?").put("stream", stream);
        String answer = http.send("POST", CHAT, body.toString()).body();
        String text = stream
                ? streamedText(answer)
                : parse(answer).at("/choices/0/message/content").asText();
        assertThat(text).isEqualTo(StandinAnswer.to(body.path("messages")).text());
    }

    @Test
    void streamEndsWithUsageAndDoneMarker() throws Exception {
        start(QUICK);
        ObjectNode body = request("one two three").put("stream", true).put("max_tokens", 2);
        body.putObject("stream_options").put("include_usage", true);
        List<String> events = events(http.send("POST", CHAT, body.toString()).body());
        assertThat(events).hasSize(5);
        assertThat(parse(events.get(2)).at("/choices/0/finish_reason").asText()).isEqualTo("length");
        assertThat(parse(events.get(3)).at("/usage/prompt_tokens").asInt()).isEqualTo(3);
        assertThat(parse(events.get(3)).at("/usage/completion_tokens").asInt()).isEqualTo(2);
        assertThat(events.get(4)).isEqualTo("[DONE]");
    }

    /**
     * Guards against a resume that repeats or omits words. The connection to the engine is closed halfway while the run
     * continues, and the reader resumes from the first event that it has not received.
     */
    @Test
    void cutStreamResumesAtTheRequestedEvent() throws Exception {
        start(QUICK);
        engine.set(Fault.next(FaultKind.CUT, 1));
        ObjectNode body = request("[words=40]").put("stream", true);
        assertThrows(IOException.class, () -> http.send("POST", CHAT, body.toString(), "X-Request-Id", "r"));
        String rest = http.send("GET", "/engine/requests/r?from=20", "").body();
        List<String> words = StandinAnswer.to(body.path("messages")).words();
        assertThat(streamedText(rest).strip()).isEqualTo(String.join(" ", words.subList(20, 40)));
    }

    @Test
    void cancelEndsTheRunAndRemovesItsId() throws Exception {
        start(EngineSettings.defaults());
        CompletableFuture<HttpResponse<String>> answer =
                http.sendAsync("POST", CHAT, request("[words=5000]").toString(), "X-Request-Id", "r");
        awaitRuns(1);
        assertThat(http.send("DELETE", "/engine/requests/r", "").statusCode()).isEqualTo(204);
        assertThrows(Exception.class, answer::join);
        assertThat(runStates()).containsExactly("cancelled");
        assertThat(http.send("GET", "/engine/requests/r", "").statusCode()).isEqualTo(404);
    }

    @Test
    void nextTurnMatchesTheHeldCacheEntry() throws Exception {
        start(QUICK);
        ObjectNode first = request("one two three");
        JsonNode answer = http.json("POST", CHAT, first.toString(), "X-Cache-Key", "program");
        ObjectNode second = first.deepCopy();
        second.withArray("messages").add(answer.at("/choices/0/message"));
        second.withArray("messages").addObject().put("role", "user").put("content", "and then");
        JsonNode usage = http.json("POST", CHAT, second.toString(), "X-Cache-Key", "program")
                .path("usage");
        assertThat(usage.at("/prompt_tokens_details/cached_tokens").asInt())
                .isEqualTo(usage.path("prompt_tokens").asInt() - 2);
        assertThat(http.json("GET", "/engine/cache", "").at("/entries/0/held").asBoolean())
                .isTrue();
        http.send("DELETE", "/engine/cache/program", "");
        assertThat(http.json("GET", "/engine/cache", "").path("entries")).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"true, 409", "false, 202"})
    void outdatedFencingTokenIsRejectedOnlyIfChecked(boolean fencing, int status) throws Exception {
        start(QUICK.withOrders(new OrderSettings(fencing, 0, 0)));
        assertThat(order(7).statusCode()).isEqualTo(202);
        assertThat(order(6).statusCode()).isEqualTo(status);
    }

    @Test
    void failedOrderReportsItsFailure() throws Exception {
        start(QUICK.withOrders(new OrderSettings(true, 0, 1)));
        String id = parse(order(1).body()).path("order").asText();
        String state = "running";
        while (state.equals("running")) {
            state = http.json("GET", "/engine/orders/" + id, "").path("state").asText();
        }
        assertThat(state).isEqualTo("failed");
    }

    @Test
    void countedFaultsDoNotApplyToLoadReports() throws Exception {
        start(QUICK);
        engine.set(Fault.next(FaultKind.REFUSE, 1));
        assertThat(http.send("GET", "/engine/load", "").statusCode()).isEqualTo(200);
        assertThat(http.send("POST", CHAT, request("x").toString()).statusCode())
                .isEqualTo(503);
        assertThat(http.send("POST", CHAT, request("x").toString()).statusCode())
                .isEqualTo(200);
    }

    /**
     * Guards against a poison fault that halts the engine on a request without the text of the fault, or that does not
     * halt it on a request with that text.
     */
    @Test
    void poisonTextHaltsTheEngine() throws Exception {
        CompletableFuture<String> halted = new CompletableFuture<>();
        engine = EngineStandin.start(group, new InetSocketAddress("127.0.0.1", 0), QUICK, () -> halted.complete("yes"));
        http = LocalHttp.to(engine.port());
        engine.set(Fault.poison("bad egg"));
        http.send("POST", CHAT, request("good egg").toString());
        assertThat(halted.isDone()).isFalse();
        http.sendAsync("POST", CHAT, request("a bad egg").toString());
        assertThat(halted.get()).isEqualTo("yes");
    }

    @Test
    void crashDiscardsRunsAndCacheAndClosesConnections() throws Exception {
        start(QUICK);
        http.send("POST", CHAT, request("x").toString(), "X-Cache-Key", "k");
        CompletableFuture<HttpResponse<String>> running =
                http.sendAsync("POST", CHAT, request("[words=50000]").toString());
        awaitRuns(2);
        engine.set(Fault.untilCleared(FaultKind.CRASH));
        assertThrows(Exception.class, running::join);
        assertThrows(IOException.class, () -> http.send("GET", "/engine/load", ""));
        engine.clearFaults();
        assertThat(http.json("GET", "/engine/cache", "").path("entries")).isEmpty();
        assertThat(runStates()).containsExactly("done", "cut").inOrder();
    }

    private void start(EngineSettings settings) {
        engine = EngineStandin.start(group, new InetSocketAddress("127.0.0.1", 0), settings);
        http = LocalHttp.to(engine.port());
    }

    private HttpResponse<String> order(long token) throws IOException, InterruptedException {
        return http.send(
                "POST",
                "/engine/orders",
                "{\"order\":\"load\",\"model\":\"m\",\"version\":\"2\",\"fencingToken\":" + token + "}");
    }

    private void awaitRuns(int count) throws IOException, InterruptedException {
        while (runStates().size() < count) {
            Thread.onSpinWait();
        }
    }

    private List<String> runStates() throws IOException, InterruptedException {
        List<String> states = new ArrayList<>();
        http.json("GET", "/standin/runs", "")
                .path("runs")
                .forEach(run -> states.add(run.path("state").asText()));
        return states;
    }

    private static ObjectNode request(String text) {
        ObjectNode body = Json.object().put("model", "standin");
        body.putArray("messages").addObject().put("role", "user").put("content", text);
        return body;
    }

    private static JsonNode parse(String json) {
        return Json.parse(json.getBytes(StandardCharsets.UTF_8)).orElseThrow();
    }

    private static List<String> events(String stream) {
        return stream.lines()
                .filter(line -> line.startsWith("data: "))
                .map(line -> line.substring("data: ".length()))
                .toList();
    }

    private static String streamedText(String stream) {
        StringBuilder text = new StringBuilder();
        for (String event : events(stream)) {
            if (!event.equals("[DONE]")) {
                text.append(parse(event).at("/choices/0/delta/content").asText(""));
            }
        }
        return text.toString();
    }
}
