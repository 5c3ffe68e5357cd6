package org.quetzalshunt.server.sidecar;

import static com.google.common.truth.Truth.assertThat;
import static org.quetzalshunt.server.sidecar.SidecarFixture.ATTEMPT;
import static org.quetzalshunt.server.sidecar.SidecarFixture.attemptStart;
import static org.quetzalshunt.server.sidecar.SidecarFixture.outcome;

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
    private final SidecarFixture fixture = new SidecarFixture();

    @AfterEach
    void close() {
        fixture.close();
    }

    @Test
    void chatCompletionIsForwardedEventByEventWithItsUsage() {
        FakeEntry entry = fixture.connect(fixture.startSidecar(ServiceKind.ENGINE));
        fixture.endpoint.on(FakeEndpoint.CHAT, exchange -> {
            FakeEndpoint.sendEvents(exchange, "{\"choices\":[{\"finish_reason\":\"stop\"}]}");
            FakeEndpoint.sendEvents(exchange, "{\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2}}", "[DONE]");
            exchange.end();
        });
        entry.start(attemptStart(true));
        AttemptEnd end = entry.awaitEnd(ATTEMPT);
        assertThat(outcome(end)).isEqualTo("OK RAN");
        assertThat(end.getChunks()).isEqualTo(2);
        assertThat(end.getUsage().getPromptTokens()).isEqualTo(9);
        assertThat(end.getFinishReason()).isEqualTo("stop");
        assertThat(entry.chunks(ATTEMPT)).hasSize(2);
        assertThat(entry.statuses(ATTEMPT)).containsExactly(200);
        HttpExchange request = fixture.endpoint.requests(FakeEndpoint.CHAT).get(0);
        assertThat(request.header("x-cache-key")).isEqualTo(Optional.of("program"));
        assertThat(request.header("x-request-id")).isEqualTo(Optional.of("77"));
    }

    // Clients put a caller's key in different headers. If an entry forwards all of them by mistake, the sidecar must
    // not pass a key on to the endpoint, whose logs its team can read.
    @Test
    void plainCallIsForwardedUnchangedAndWithoutAnyKey() {
        FakeEntry entry = fixture.connect(fixture.startSidecar(ServiceKind.PLAIN));
        fixture.endpoint.on("POST /issues", exchange -> exchange.respondText(409, "twice"));
        AttemptStart start = attemptStart(false);
        start.setPath("/issues?year=3");
        start.setHeaders(new HashMap<>(
                Map.of("Authorization", "Bearer k", "Cookie", "k", "X-Api-Key", "k", "Idempotency-Key", "i")));
        entry.start(start);
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("OK RAN");
        assertThat(entry.statuses(ATTEMPT)).containsExactly(409);
        assertThat(entry.chunks(ATTEMPT)).containsExactly("twice");
        List<String> names = fixture.endpoint.requests("POST /issues?year=3").get(0).headers().stream()
                .map(header -> header.getKey())
                .toList();
        assertThat(names).containsExactly("idempotency-key", "host", "content-length");
    }

    @Test
    void reportsAreSentOnOpenAndWheneverTheLoadChanges() {
        FakeEntry entry = fixture.connect(fixture.startSidecar(ServiceKind.ENGINE));
        fixture.endpoint.on(FakeEndpoint.CHAT, exchange -> FakeEndpoint.sendEvents(exchange, "{}"));
        FakeEntry.await(() -> entry.reports().stream().anyMatch(report -> report.isHealthy()));
        entry.start(attemptStart(true));
        FakeEntry.await(() -> entry.reports().stream().anyMatch(report -> report.getRunning() == 1));
        entry.cancel(ATTEMPT);
        assertThat(outcome(entry.awaitEnd(ATTEMPT))).isEqualTo("CANCELLED RAN");
        int before = entry.reports().size();
        FakeEntry.await(() -> entry.reports().size() > before);
        assertThat(entry.lastReport().getRunning()).isEqualTo(0);
        assertThat(entry.reports().get(0).getServiceName()).isEqualTo("tutor");
        FakeEntry.await(
                () -> !fixture.endpoint.requests("DELETE /engine/requests/77").isEmpty());
    }

    @ParameterizedTest
    @CsvSource({"/healthz, 200, alive", "/readyz, 200, ready", "/dump, 200, heldPrograms", "/other, 404, no such page"})
    void statusPagesAnswer(String path, int status, String part) throws Exception {
        SidecarProcess sidecar = fixture.startSidecar(ServiceKind.ENGINE);
        FakeEntry entry = fixture.connect(sidecar);
        FakeEntry.await(() -> entry.reports().stream().anyMatch(report -> report.isHealthy()));
        URI page = URI.create("http://127.0.0.1:" + sidecar.httpPort() + path);
        HttpResponse<String> response = HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(page).build(), HttpResponse.BodyHandlers.ofString());
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.body()).contains(part);
    }
}
