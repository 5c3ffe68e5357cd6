package org.quetzalshunt.server.sidecar;

import static com.google.common.truth.Truth.assertThat;
import static org.quetzalshunt.server.sidecar.SidecarBench.ATTEMPT;
import static org.quetzalshunt.server.sidecar.SidecarBench.order;
import static org.quetzalshunt.server.sidecar.SidecarBench.outcome;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.wire.generated.AttemptEnd;
import org.quetzalshunt.wire.generated.AttemptStart;

final class SidecarProcessTest {
    private final SidecarBench bench = new SidecarBench();

    @AfterEach
    void close() {
        bench.close();
    }

    @Test
    void chatAnswerIsPassedOnEventByEventAndWithItsUsage() {
        FakeEntry entry = bench.connect(bench.startSidecar(ServiceKind.ENGINE));
        bench.endpoint.on(FakeEndpoint.CHAT, exchange -> {
            FakeEndpoint.events(exchange, "{\"choices\":[{\"finish_reason\":\"stop\"}]}");
            FakeEndpoint.events(exchange, "{\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2}}", "[DONE]");
            exchange.end();
        });
        entry.start(order(true));
        AttemptEnd end = entry.awaitEnd(ATTEMPT);
        assertThat(outcome(end)).isEqualTo("OK RAN");
        assertThat(end.getChunks()).isEqualTo(2);
        assertThat(end.getUsage().getPromptTokens()).isEqualTo(9);
        assertThat(end.getFinishReason()).isEqualTo("stop");
        assertThat(entry.chunks(ATTEMPT)).hasSize(2);
        assertThat(entry.statuses(ATTEMPT)).containsExactly(200);
        HttpExchange request = bench.endpoint.requests(FakeEndpoint.CHAT).get(0);
        assertThat(request.header("x-cache-key")).isEqualTo(Optional.of("program"));
        assertThat(request.header("x-request-id")).isEqualTo(Optional.of("77"));
    }

    // A caller's key stands in whatever header its client chose. An entry that passes all of them on by mistake must
    // not show it to the endpoint, whose logs its team can read.
    @Test
    void plainAnswerIsPassedOnAsItIsAndWithoutAnyKey() {
        FakeEntry entry = bench.connect(bench.startSidecar(ServiceKind.PLAIN));
        bench.endpoint.on("POST /issues", exchange -> exchange.respondText(409, "twice"));
        AttemptStart start = order(false);
        start.setPath("/issues?year=3");
        start.setHeaders(new HashMap<>(
                Map.of("Authorization", "Bearer k", "Cookie", "k", "X-Api-Key", "k", "Idempotency-Key", "i")));
        entry.start(start);
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("OK RAN");
        assertThat(entry.statuses(ATTEMPT)).containsExactly(409);
        assertThat(entry.chunks(ATTEMPT)).containsExactly("twice");
        List<String> names = bench.endpoint.requests("POST /issues?year=3").get(0).headers().stream()
                .map(header -> header.getKey())
                .toList();
        assertThat(names).containsExactly("idempotency-key", "host", "content-length");
    }

    @Test
    void reportsComeAtOnceAndWheneverWorkChanges() {
        FakeEntry entry = bench.connect(bench.startSidecar(ServiceKind.ENGINE));
        bench.endpoint.on(FakeEndpoint.CHAT, exchange -> FakeEndpoint.events(exchange, "{}"));
        FakeEntry.await(() -> entry.reports().stream().anyMatch(report -> report.isHealthy()));
        entry.start(order(true));
        FakeEntry.await(() -> entry.reports().stream().anyMatch(report -> report.getRunning() == 1));
        entry.cancel(ATTEMPT);
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("CANCELLED RAN");
        int before = entry.reports().size();
        FakeEntry.await(() -> entry.reports().size() > before);
        assertThat(entry.reports().get(entry.reports().size() - 1).getRunning()).isEqualTo(0);
        assertThat(entry.reports().get(0).getServiceName()).isEqualTo("tutor");
        FakeEntry.await(
                () -> !bench.endpoint.requests("DELETE /engine/requests/77").isEmpty());
    }

    @ParameterizedTest
    @CsvSource({"/healthz, 200, alive", "/readyz, 200, ready", "/dump, 200, heldPrograms", "/other, 404, no such page"})
    void pages(String path, int status, String part) throws Exception {
        SidecarProcess sidecar = bench.startSidecar(ServiceKind.ENGINE);
        FakeEntry entry = bench.connect(sidecar);
        FakeEntry.await(() -> entry.reports().stream().anyMatch(report -> report.isHealthy()));
        URI page = URI.create("http://127.0.0.1:" + sidecar.httpPort() + path);
        HttpResponse<String> response = HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(page).build(), HttpResponse.BodyHandlers.ofString());
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.body()).contains(part);
    }
}
