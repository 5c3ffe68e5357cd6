package org.quetzalshunt.server.sidecar;

import static com.google.common.truth.Truth.assertThat;
import static org.quetzalshunt.server.sidecar.SidecarFixture.ATTEMPT;
import static org.quetzalshunt.server.sidecar.SidecarFixture.SECRET;
import static org.quetzalshunt.server.sidecar.SidecarFixture.SHARD;
import static org.quetzalshunt.server.sidecar.SidecarFixture.attemptStart;
import static org.quetzalshunt.server.sidecar.SidecarFixture.outcome;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.memory.ResponseBudget;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.wire.generated.AttemptStart;
import org.quetzalshunt.wire.generated.CacheRenew;
import org.quetzalshunt.wire.generated.Message;

/** Failures over real sockets; the decisions behind them are tested in the core. */
final class SidecarFaultTest {
    private final SidecarFixture fixture = new SidecarFixture();

    @AfterEach
    void close() {
        fixture.close();
    }

    // A peer on the network connects to the sidecar's port and orders work from the engine. Without the deployment's
    // shared secret the link must never open, and none of its orders may be executed.
    @Test
    void peerWithoutTheSecretCannotOrderWork() {
        SidecarProcess sidecar = fixture.startSidecar(ServiceKind.ENGINE);
        FakeEntry intruder =
                fixture.connect(VmId.of("stranger", 1), "a guess".getBytes(StandardCharsets.UTF_8), sidecar);
        FakeEntry.sleep(500);
        assertThat(intruder.isOpen()).isFalse();
        assertThat(fixture.endpoint.requests(FakeEndpoint.CHAT)).isEmpty();
    }

    // The connection to the engine breaks in the middle of an answer while the engine continues. The rest must be
    // fetched from the engine's copy, so that the answer is complete and no event comes twice.
    @Test
    void brokenStreamIsResumedFromTheEngine() {
        FakeEntry entry = fixture.connect(fixture.startSidecar(ServiceKind.ENGINE));
        fixture.endpoint.on(FakeEndpoint.CHAT, exchange -> {
            FakeEndpoint.sendEvents(exchange, "1", "2");
            exchange.abort();
        });
        fixture.endpoint.on("GET /engine/requests/77?from=2", exchange -> {
            FakeEndpoint.sendEvents(exchange, "3", "[DONE]");
            exchange.end();
        });
        entry.start(attemptStart(true));
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("OK RAN");
        assertThat(entry.chunks(ATTEMPT)).containsExactly("1", "2", "3").inOrder();
        assertThat(fixture.endpoint.requests(FakeEndpoint.CHAT)).hasSize(1);
    }

    // A request crashes the engine's process. The owner must learn that the endpoint failed while running it, so that
    // it can quarantine the request before it crashes every engine, and entries must see the endpoint as unhealthy
    // within seconds.
    @Test
    void engineCrashIsReportedForTheRequestThatRan() {
        FakeEntry entry = fixture.connect(fixture.startSidecar(ServiceKind.ENGINE));
        fixture.endpoint.on(FakeEndpoint.CHAT, exchange -> {
            FakeEndpoint.sendEvents(exchange, "1");
            fixture.endpoint.crash();
        });
        FakeEntry.await(() -> entry.reports().stream().anyMatch(report -> report.isHealthy()));
        entry.start(attemptStart(true));
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("ENDPOINT_FAILED RAN");
        FakeEntry.await(() -> !entry.lastReport().isHealthy());
    }

    // An endpoint accepts connections and answers nothing, as when it hangs or its network cable is pulled. The entry
    // must be informed after the stall time, long before the deadline.
    @ParameterizedTest
    @CsvSource({"ENGINE, true, ENDPOINT_STALLED RAN", "PLAIN, false, OUTCOME_UNKNOWN UNKNOWN"})
    void hangingEndpointIsReportedAfterTheStallTime(ServiceKind kind, boolean repeatable, String outcome) {
        FakeEntry entry = fixture.connect(fixture.startSidecar(kind));
        fixture.endpoint.on("POST", exchange -> {});
        AttemptStart start = attemptStart(repeatable);
        start.setStallMillis(300);
        entry.start(start);
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo(outcome);
    }

    // A plain service performs a call, then closes the connection without an answer. A non-repeatable call must not be
    // sent again, and its outcome must be reported as unknown; a repeatable one is sent once more.
    @ParameterizedTest
    @CsvSource({"false, 1, OUTCOME_UNKNOWN UNKNOWN", "true, 2, ENDPOINT_FAILED RAN"})
    void unansweredPlainCallIsRepeatedOnlyIfRepeatable(boolean repeatable, int sent, String outcome) {
        FakeEntry entry = fixture.connect(fixture.startSidecar(ServiceKind.PLAIN));
        fixture.endpoint.on("POST /issues", HttpExchange::abort);
        entry.start(attemptStart(repeatable));
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo(outcome);
        assertThat(fixture.endpoint.requests("POST /issues")).hasSize(sent);
    }

    // A faulty service sends a second copy of a response when the next request arrives on the connection. Services echo
    // no id, so the caller of the next request would receive the response to another one.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void lateCopyOfAResponseIsNotTheResponseToTheNextRequest(boolean repeatable) throws IOException {
        try (RepeatingServer service = RepeatingServer.start()) {
            FakeEntry entry = fixture.connect(
                    fixture.startSidecar(ServiceKind.PLAIN, SidecarTimes.defaults(), service.address()));
            for (long attempt = ATTEMPT; attempt < ATTEMPT + 3; attempt++) {
                AttemptStart start = attemptStart(repeatable);
                start.setAttempt(attempt);
                start.setPath("/" + attempt);
                entry.start(start);
                assertThat(outcome(entry.awaitEnd(attempt))).isEqualTo("OK RAN");
                assertThat(entry.chunks(attempt)).containsExactly("response to /" + attempt);
            }
        }
    }

    // A service closes an idle connection just as the sidecar reuses it. A non-repeatable call would then have an
    // unknown outcome without ever having arrived, so each one must use a new connection.
    @Test
    void nonRepeatableCallNeverUsesAPooledConnection() throws IOException {
        try (SingleResponseServer service = SingleResponseServer.start()) {
            SidecarTimes times = SidecarTimes.defaults();
            FakeEntry entry = fixture.connect(fixture.startSidecar(ServiceKind.PLAIN, times, service.address()));
            for (int call = 0; call < 5; call++) {
                AttemptStart start = attemptStart(false);
                start.setAttempt(call);
                entry.start(start);
                assertThat(outcome(entry.awaitEnd(call))).isEqualTo("OK RAN");
            }
        }
    }

    /** Guards against a response of a plain service that is cut in its head and reported as whole and empty. */
    @ParameterizedTest
    @ValueSource(strings = {"content-length: 4\r\n\r\n", "transfer-encoding: chunked\r\n\r\n", "\r\n"})
    void responseThatIsCutInItsHeadIsNoResponse(String endOfHead) throws IOException {
        byte[] head = ("HTTP/1.1 200 OK\r\nserver: a\r\n" + endOfHead).getBytes(StandardCharsets.US_ASCII);
        try (CutService service = CutService.start(head)) {
            SidecarTimes times = SidecarTimes.defaults();
            FakeEntry entry = fixture.connect(fixture.startSidecar(ServiceKind.PLAIN, times, service.address()));
            for (int bytes = 1; bytes <= head.length; bytes++) {
                service.setCutAt(bytes);
                AttemptStart start = attemptStart(false);
                start.setAttempt(bytes);
                entry.start(start);
                assertThat(outcome(entry.awaitEnd(bytes))).isEqualTo("OUTCOME_UNKNOWN UNKNOWN");
            }
        }
    }

    /** Guards against a body without end that fills the heap of the sidecar, and of the entry that collects it. */
    @ParameterizedTest
    @CsvSource({
        "PLAIN, 200, OUTCOME_UNKNOWN UNKNOWN",
        "PLAIN, 500, OUTCOME_UNKNOWN UNKNOWN",
        "ENGINE, 500, ANSWER_CUT RAN"
    })
    void responseWithoutEndFails(ServiceKind kind, int status, String outcome) throws IOException {
        try (EndlessService service = EndlessService.start("HTTP/1.1 " + status + " Status\r\n\r\n")) {
            FakeEntry entry = fixture.connect(fixture.startSidecar(kind, SidecarTimes.defaults(), service.address()));
            entry.start(attemptStart(false));
            assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo(outcome);
            int received =
                    entry.chunks(ATTEMPT).stream().mapToInt(String::length).sum();
            assertThat(received).isAtMost((int) ResponseBudget.MAXIMUM_RESPONSE_BYTES);
        }
    }

    static Stream<Arguments> kindsAndMalformedResponses() {
        String rest = "content-type: text/plain\r\ncontent-length: 4\r\n\r\nbody";
        String chunks = "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
        return Stream.of(
                        "HTTP/1.1 000 None\r\n" + rest,
                        "HTTP/1.1 2000 OK\r\n" + rest,
                        "HTTP/1.1 200 OK\r\nx odd: 1\r\n" + rest,
                        "HTTP/1.1 200 OK\r\nx\u0001odd: 1\r\n" + rest,
                        "HTTP/1.1 503 Full\r\nx odd: 1\r\n" + rest,
                        "HTTP/1.1 400 Bad\r\nx odd: 1\r\n" + rest,
                        "HTTP/1.1 103 Hints\r\nx odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
                        "HTTP/1.1 200 OK\r\n" + chunks + "x odd: 1\r\n\r\n")
                .flatMap(response -> Stream.of(
                        Arguments.of(ServiceKind.PLAIN, response, "OUTCOME_UNKNOWN UNKNOWN"),
                        Arguments.of(
                                ServiceKind.ENGINE,
                                response,
                                response.contains(chunks) ? "ANSWER_CUT RAN" : "ENDPOINT_FAILED RAN")));
    }

    /** Guards against bytes that are no response and are reported as one, or as a rejection without a run. */
    @ParameterizedTest
    @MethodSource("kindsAndMalformedResponses")
    void malformedResponseIsNoResponse(ServiceKind kind, String response, String outcome) throws IOException {
        byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
        try (CutService service = CutService.start(bytes)) {
            service.setCutAt(bytes.length);
            FakeEntry entry = fixture.connect(fixture.startSidecar(kind, SidecarTimes.defaults(), service.address()));
            entry.start(attemptStart(false));
            assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo(outcome);
        }
    }

    // Nothing listens at the address of the endpoint. The attempt must be reported quickly as not run, so that the
    // entry can try another endpoint.
    @ParameterizedTest
    @EnumSource(ServiceKind.class)
    void unreachableEndpointIsReportedAsNotRun(ServiceKind kind) {
        FakeEntry entry = fixture.connect(fixture.startSidecar(kind));
        fixture.endpoint.crash();
        fixture.endpoint.awaitUnreachable();
        entry.start(attemptStart(false));
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("ENDPOINT_FAILED NOT_RUN");
    }

    // An entry crashes in the middle of an answer. Another entry asks for the same attempt and must get the answer from
    // the start, without a second request to the engine.
    @Test
    void answerIsResumedByAnotherEntry() {
        SidecarProcess sidecar = fixture.startSidecar(ServiceKind.ENGINE);
        FakeEntry first = fixture.connect(sidecar);
        CompletableFuture<HttpExchange> running = new CompletableFuture<>();
        fixture.endpoint.on(FakeEndpoint.CHAT, exchange -> {
            FakeEndpoint.sendEvents(exchange, "1", "2");
            running.complete(exchange);
        });
        first.start(attemptStart(true));
        first.awaitChunks(ATTEMPT, 2);
        first.close();
        FakeEntry second = fixture.connect(sidecar);
        second.resume(ATTEMPT, 0);
        second.awaitChunks(ATTEMPT, 2);
        fixture.endpoint.run(() -> {
            FakeEndpoint.sendEvents(running.join(), "3", "[DONE]");
            running.join().end();
        });
        assertThat(second.awaitEnd(ATTEMPT).getChunks()).isEqualTo(3);
        assertThat(second.chunks(ATTEMPT)).containsExactly("1", "2", "3").inOrder();
        assertThat(fixture.endpoint.requests(FakeEndpoint.CHAT)).hasSize(1);
    }

    // A planned stop while an answer streams: entries must learn of it at once, later attempts must be refused as not
    // run, and the running answer must complete before the process ends.
    @Test
    void plannedStopCompletesRunningAttempts() throws Exception {
        SidecarProcess sidecar = fixture.startSidecar(ServiceKind.ENGINE);
        FakeEntry entry = fixture.connect(sidecar);
        CompletableFuture<HttpExchange> running = new CompletableFuture<>();
        fixture.endpoint.on(FakeEndpoint.CHAT, exchange -> {
            FakeEndpoint.sendEvents(exchange, "1");
            running.complete(exchange);
        });
        entry.start(attemptStart(true));
        entry.awaitChunks(ATTEMPT, 1);
        CompletableFuture<Void> stopped = sidecar.stop();
        FakeEntry.await(() -> entry.reports().stream().anyMatch(report -> report.isLeaving()));
        AttemptStart late = attemptStart(true);
        late.setAttempt(ATTEMPT + 1);
        entry.start(late);
        assertThat(outcome(entry.awaitEnd(ATTEMPT + 1))).isEqualTo("STOPPING NOT_RUN");
        assertThat(stopped.isDone()).isFalse();
        fixture.endpoint.run(() -> FakeEndpoint.sendEvents(running.join(), "2", "[DONE]"));
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("OK RAN");
        stopped.get(5, TimeUnit.SECONDS);
    }

    // A planned stop while an answer never ends: the stop must end within the drain time, and the entry must learn that
    // the answer was cut.
    @Test
    void plannedStopTakesABoundedTime() throws Exception {
        SidecarTimes times = SidecarTimes.defaults().withDrainMillis(300);
        SidecarProcess sidecar = fixture.startSidecar(ServiceKind.ENGINE, times);
        FakeEntry entry = fixture.connect(sidecar);
        fixture.endpoint.on(FakeEndpoint.CHAT, exchange -> FakeEndpoint.sendEvents(exchange, "1"));
        entry.start(attemptStart(true));
        entry.awaitChunks(ATTEMPT, 1);
        sidecar.stop().get(5, TimeUnit.SECONDS);
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("ANSWER_CUT RAN");
    }

    // A restarted sidecar finds two programs whose cache entries the engine holds. One has an owner that renews its
    // lease, the other was lost with its entry: only the latter may be freed.
    @Test
    void restartedSidecarFreesOnlyEntriesThatAreNotRenewed() {
        SidecarTimes times = SidecarTimes.defaults().withGraceAndLease(1_000, 500);
        fixture.endpoint.on(
                "GET /engine/cache",
                exchange -> exchange.respondJson(
                        200,
                        "{\"entries\":[{\"key\":\"living\",\"held\":true},{\"key\":\"a b/c\",\"held\":true},"
                                + "{\"key\":\"free\",\"held\":false}]}"));
        fixture.endpoint.on("DELETE /engine/cache/", exchange -> exchange.respondText(204, ""));
        FakeEntry entry = fixture.connect(fixture.startSidecar(ServiceKind.ENGINE, times));
        entry.send(Message.cacheRenew(new CacheRenew(SHARD, 1, List.of("living"), 60_000)));
        FakeEntry.await(() -> entry.reports().stream().anyMatch(report -> report.getFreedPrograms() == 1));
        assertThat(fixture.endpoint.requests("DELETE /engine/cache/")).hasSize(1);
        assertThat(fixture.endpoint.requests("DELETE /engine/cache/a%20b%2Fc")).hasSize(1);
    }

    // A paused entry is replaced at its address and then resumes, with its old connection still open. Its orders are
    // void: the sidecar must close that connection, and each one that the former incarnation opens again.
    @Test
    void linkOfAFormerIncarnationIsClosed() {
        SidecarProcess sidecar = fixture.startSidecar(ServiceKind.ENGINE);
        FakeEntry former = fixture.connect(VmId.of("entry", 1), SECRET, sidecar).awaitOpen();
        FakeEntry present =
                fixture.connect(VmId.of("entry", 2), SECRET, sidecar).awaitOpen();
        FakeEntry.await(() -> former.closeCount() > 1);
        assertThat(present.closeCount()).isEqualTo(0);
    }

    // A team puts a document with a new model version while the weight store refuses requests over its rate. The
    // sidecar must ask again after the stated delay, load the new version, and only then unload the old one.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void newModelVersionIsLoadedBeforeTheOldOneIsUnloaded(boolean storeIsBusyFirst) {
        FakeModels models = FakeModels.on(fixture.endpoint, storeIsBusyFirst);
        SidecarTimes times = SidecarTimes.defaults().withRolloutWindowMillis(0);
        SidecarProcess sidecar = fixture.startSidecar(ServiceKind.ENGINE, times);
        sidecar.setDesiredModels(5, List.of("tutor@2", "not a model"), true);
        FakeEntry.await(() -> models.orders().size() == 2);
        assertThat(models.orders())
                .containsExactly("load tutor@2 5", "unload tutor@1 5")
                .inOrder();
        assertThat(models.weightRequests()).isEqualTo(storeIsBusyFirst ? 2 : 1);
    }
}
