package org.quetzalshunt.server.sidecar;

import static com.google.common.truth.Truth.assertThat;
import static org.quetzalshunt.server.sidecar.SidecarBench.ATTEMPT;
import static org.quetzalshunt.server.sidecar.SidecarBench.SECRET;
import static org.quetzalshunt.server.sidecar.SidecarBench.SHARD;
import static org.quetzalshunt.server.sidecar.SidecarBench.order;
import static org.quetzalshunt.server.sidecar.SidecarBench.outcome;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.wire.generated.AttemptStart;
import org.quetzalshunt.wire.generated.CacheRenew;
import org.quetzalshunt.wire.generated.Message;

/** Failures over real sockets; the decisions behind them are tested in the core. */
final class SidecarFaultTest {
    private final SidecarBench bench = new SidecarBench();

    @AfterEach
    void close() {
        bench.close();
    }

    // Someone on the network finds the sidecar's port and orders work from the model engine. Without the deployment's
    // secret the connection never opens, and no order of it counts.
    @Test
    void strangerWithoutTheSecretGivesNoWork() {
        SidecarProcess sidecar = bench.startSidecar(ServiceKind.ENGINE);
        FakeEntry stranger = bench.connect(VmId.of("stranger", 1), "a guess".getBytes(StandardCharsets.UTF_8), sidecar);
        FakeEntry.pause(500);
        assertThat(stranger.isOpen()).isFalse();
        assertThat(bench.endpoint.requests(FakeEndpoint.CHAT)).isEmpty();
    }

    // The connection to the engine breaks in mid-answer while the engine goes on. The caller's answer comes whole,
    // from the engine's own copy, with nothing twice.
    @Test
    void cutStreamIsResumedFromTheEngine() {
        FakeEntry entry = bench.connect(bench.startSidecar(ServiceKind.ENGINE));
        bench.endpoint.on(FakeEndpoint.CHAT, exchange -> {
            FakeEndpoint.events(exchange, "1", "2");
            exchange.abort();
        });
        bench.endpoint.on("GET /engine/requests/77?from=2", exchange -> {
            FakeEndpoint.events(exchange, "3", "[DONE]");
            exchange.end();
        });
        entry.start(order(true));
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("OK RAN");
        assertThat(entry.chunks(ATTEMPT)).containsExactly("1", "2", "3").inOrder();
        assertThat(bench.endpoint.requests(FakeEndpoint.CHAT)).hasSize(1);
    }

    // A request makes the engine's process die. The owner must hear that the endpoint died while running it, so that
    // it can stop the request before it has killed them all; and entries see the endpoint as gone within seconds.
    @Test
    void engineThatDiesUnderARequest() {
        FakeEntry entry = bench.connect(bench.startSidecar(ServiceKind.ENGINE));
        bench.endpoint.on(FakeEndpoint.CHAT, exchange -> {
            FakeEndpoint.events(exchange, "1");
            bench.endpoint.die();
        });
        FakeEntry.await(() -> entry.reports().stream().anyMatch(report -> report.isHealthy()));
        entry.start(order(true));
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("ENDPOINT_FAILED RAN");
        FakeEntry.await(() -> !entry.reports().get(entry.reports().size() - 1).isHealthy());
    }

    // An endpoint takes connections and answers nothing, as one does that hangs or whose cable was pulled. The entry
    // hears of it by the stall time, long before the deadline.
    @ParameterizedTest
    @CsvSource({"ENGINE, true, ENDPOINT_STALLED RAN", "PLAIN, false, OUTCOME_UNKNOWN UNKNOWN"})
    void endpointThatHangs(ServiceKind kind, boolean repeatable, String outcome) {
        FakeEntry entry = bench.connect(bench.startSidecar(kind));
        bench.endpoint.on("POST", exchange -> {});
        AttemptStart start = order(repeatable);
        start.setStallMillis(300);
        entry.start(start);
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo(outcome);
    }

    // A plain service books the lorry, then closes the connection without an answer. The call is not sent again, and
    // its outcome is told as unknown; a mere question is sent once more.
    @ParameterizedTest
    @CsvSource({"false, 1, OUTCOME_UNKNOWN UNKNOWN", "true, 2, ENDPOINT_FAILED RAN"})
    void plainCallWithoutAnAnswer(boolean repeatable, int sent, String outcome) {
        FakeEntry entry = bench.connect(bench.startSidecar(ServiceKind.PLAIN));
        bench.endpoint.on("POST /issues", HttpExchange::abort);
        entry.start(order(repeatable));
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo(outcome);
        assertThat(bench.endpoint.requests("POST /issues")).hasSize(sent);
    }

    // A service closes connections that rest; one of them is kept by the sidecar at that moment. A call that must not
    // be repeated would be of unknown outcome without ever having arrived, so each has a connection of its own.
    @Test
    void callThatMustNotBeRepeatedNeverUsesAKeptConnection() throws IOException {
        try (OneAnswerServer service = OneAnswerServer.start()) {
            SidecarTimes times = SidecarTimes.defaults();
            FakeEntry entry = bench.connect(bench.startSidecar(ServiceKind.PLAIN, times, service.address()));
            for (int call = 0; call < 5; call++) {
                AttemptStart start = order(false);
                start.setAttempt(call);
                entry.start(start);
                assertThat(outcome(entry.awaitEnd(call))).isEqualTo("OK RAN");
            }
        }
    }

    // Nothing listens where the endpoint should be. The truth is "not run", and quickly, so that the entry can try
    // another endpoint.
    @ParameterizedTest
    @EnumSource(ServiceKind.class)
    void endpointThatIsGone(ServiceKind kind) {
        FakeEntry entry = bench.connect(bench.startSidecar(kind));
        bench.endpoint.die();
        bench.endpoint.awaitLoop();
        entry.start(order(false));
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("ENDPOINT_FAILED NOT_RUN");
    }

    // An entry's process dies in mid-answer; another entry asks for the same attempt and gets it from the start.
    @Test
    void answerIsResumedByAnotherEntry() {
        SidecarProcess sidecar = bench.startSidecar(ServiceKind.ENGINE);
        FakeEntry first = bench.connect(sidecar);
        CompletableFuture<HttpExchange> running = new CompletableFuture<>();
        bench.endpoint.on(FakeEndpoint.CHAT, exchange -> {
            FakeEndpoint.events(exchange, "1", "2");
            running.complete(exchange);
        });
        first.start(order(true));
        first.awaitChunks(ATTEMPT, 2);
        first.close();
        FakeEntry second = bench.connect(sidecar);
        second.resume(ATTEMPT, 0);
        second.awaitChunks(ATTEMPT, 2);
        bench.endpoint.run(() -> {
            FakeEndpoint.events(running.join(), "3", "[DONE]");
            running.join().end();
        });
        assertThat(second.awaitEnd(ATTEMPT).getChunks()).isEqualTo(3);
        assertThat(second.chunks(ATTEMPT)).containsExactly("1", "2", "3").inOrder();
        assertThat(bench.endpoint.requests(FakeEndpoint.CHAT)).hasSize(1);
    }

    // A VM's planned stop while an answer streams: entries hear at once that it leaves, what they still send is
    // refused as not run, the answer comes whole, and then the process ends.
    @Test
    void plannedStopCutsNothing() throws Exception {
        SidecarProcess sidecar = bench.startSidecar(ServiceKind.ENGINE);
        FakeEntry entry = bench.connect(sidecar);
        CompletableFuture<HttpExchange> running = new CompletableFuture<>();
        bench.endpoint.on(FakeEndpoint.CHAT, exchange -> {
            FakeEndpoint.events(exchange, "1");
            running.complete(exchange);
        });
        entry.start(order(true));
        entry.awaitChunks(ATTEMPT, 1);
        CompletableFuture<Void> stopped = sidecar.stop();
        FakeEntry.await(() -> entry.reports().stream().anyMatch(report -> report.isLeaving()));
        AttemptStart late = order(true);
        late.setAttempt(ATTEMPT + 1);
        entry.start(late);
        assertThat(outcome(entry.awaitEnd(ATTEMPT + 1))).isEqualTo("STOPPING NOT_RUN");
        assertThat(stopped.isDone()).isFalse();
        bench.endpoint.run(() -> FakeEndpoint.events(running.join(), "2", "[DONE]"));
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("OK RAN");
        stopped.get(5, TimeUnit.SECONDS);
    }

    // A planned stop while an answer never ends. The time is bounded, and the entry is told what is true.
    @Test
    void plannedStopTakesABoundedTime() throws Exception {
        SidecarTimes times = SidecarTimes.defaults().withDrainMillis(300);
        SidecarProcess sidecar = bench.startSidecar(ServiceKind.ENGINE, times);
        FakeEntry entry = bench.connect(sidecar);
        bench.endpoint.on(FakeEndpoint.CHAT, exchange -> FakeEndpoint.events(exchange, "1"));
        entry.start(order(true));
        entry.awaitChunks(ATTEMPT, 1);
        sidecar.stop().get(5, TimeUnit.SECONDS);
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("ANSWER_CUT RAN");
    }

    // A sidecar is restarted. Of the two programs whose memory the engine holds, one has an owner that renews, the
    // other is gone with the entry that ran it, and only that one is freed.
    @Test
    void restartedSidecarFreesWhatIsNotRenewed() {
        SidecarTimes times = SidecarTimes.defaults().withGraceAndLease(1_000, 500);
        bench.endpoint.on(
                "GET /engine/cache",
                exchange -> exchange.respondJson(
                        200,
                        "{\"entries\":[{\"key\":\"living\",\"held\":true},{\"key\":\"a b/c\",\"held\":true},"
                                + "{\"key\":\"free\",\"held\":false}]}"));
        bench.endpoint.on("DELETE /engine/cache/", exchange -> exchange.respondText(204, ""));
        FakeEntry entry = bench.connect(bench.startSidecar(ServiceKind.ENGINE, times));
        entry.send(Message.cacheRenew(new CacheRenew(SHARD, 1, List.of("living"), 60_000)));
        FakeEntry.await(() -> entry.reports().stream().anyMatch(report -> report.getFreedPrograms() == 1));
        assertThat(bench.endpoint.requests("DELETE /engine/cache/")).hasSize(1);
        assertThat(bench.endpoint.requests("DELETE /engine/cache/a%20b%2Fc")).hasSize(1);
    }

    // An entry that was paused is replaced at its address; when it wakes, its old connection still stands. Orders on
    // it are void: the sidecar has closed it for the newer incarnation, and closes each that the old one opens again.
    @Test
    void formerIncarnationOfAnEntryIsCutOff() {
        SidecarProcess sidecar = bench.startSidecar(ServiceKind.ENGINE);
        FakeEntry former = bench.connect(VmId.of("entry", 1), SECRET, sidecar).awaitOpen();
        FakeEntry present = bench.connect(VmId.of("entry", 2), SECRET, sidecar).awaitOpen();
        FakeEntry.await(() -> former.closings() > 1);
        assertThat(present.closings()).isEqualTo(0);
    }

    // A team puts a new version while the weight store is over its rate. The sidecar asks again when it may, loads
    // the new version, and only then unloads the old one.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void modelsOfTheDocumentAreLoaded(boolean storeIsBusyFirst) {
        FakeModels models = FakeModels.on(bench.endpoint, storeIsBusyFirst);
        SidecarTimes times = SidecarTimes.defaults().withRolloutWindowMillis(0);
        SidecarProcess sidecar = bench.startSidecar(ServiceKind.ENGINE, times);
        sidecar.desiredModels(5, List.of("tutor@2", "not a model"), true);
        FakeEntry.await(() -> models.orders().size() == 2);
        assertThat(models.orders())
                .containsExactly("load tutor@2 5", "unload tutor@1 5")
                .inOrder();
        assertThat(models.weightRequests()).isEqualTo(storeIsBusyFirst ? 2 : 1);
    }
}
