package org.quetzalshunt.server.sidecar;

import static com.google.common.truth.Truth.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.wire.generated.AttemptEnd;
import org.quetzalshunt.wire.generated.AttemptStart;

final class SidecarProcessTest {
    private static final byte[] SECRET = "a secret of the tests".getBytes(StandardCharsets.UTF_8);
    private static final byte[] BODY = "{\"stream\":true}".getBytes(StandardCharsets.UTF_8);
    private static final long ATTEMPT = 77;

    private final FakeEndpoint endpoint = FakeEndpoint.start();
    private SidecarProcess sidecar;
    private FakeEntry entry;

    @AfterEach
    void close() {
        entry.close();
        sidecar.kill();
        endpoint.close();
    }

    @Test
    void chatAnswerIsPassedOnEventByEventAndWithItsUsage() {
        begin(ServiceKind.ENGINE);
        endpoint.on(FakeEndpoint.CHAT, exchange -> {
            FakeEndpoint.events(exchange, "{\"choices\":[{\"finish_reason\":\"stop\"}]}");
            FakeEndpoint.events(exchange, "{\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2}}", "[DONE]");
            exchange.end();
        });
        entry.start(chat(ATTEMPT, 1));
        AttemptEnd end = entry.awaitEnd(ATTEMPT);
        assertThat(ResultCode.fromNumber(end.getResultCode())).isEqualTo(ResultCode.OK);
        assertThat(end.getChunks()).isEqualTo(2);
        assertThat(end.getUsage().getPromptTokens()).isEqualTo(9);
        assertThat(end.getFinishReason()).isEqualTo("stop");
        assertThat(entry.chunks(ATTEMPT)).hasSize(2);
        assertThat(entry.statuses(ATTEMPT)).containsExactly(200);
        assertThat(endpoint.requests(FakeEndpoint.CHAT).get(0).header("x-cache-key"))
                .isEqualTo(Optional.of("program"));
    }

    @Test
    void plainAnswerIsPassedOnAsItIsAndWithoutAnyKey() {
        begin(ServiceKind.PLAIN);
        endpoint.on("POST /issues", exchange -> exchange.respondText(409, "twice"));
        AttemptStart start = chat(ATTEMPT, 1);
        start.setPath("/issues?year=3");
        start.setRepeatable(false);
        start.setHeaders(new HashMap<>(
                Map.of("Authorization", "Bearer k", "Cookie", "k", "X-Api-Key", "k", "Idempotency-Key", "i")));
        entry.start(start);
        AttemptEnd end = entry.awaitEnd(ATTEMPT);
        assertThat(Execution.fromNumber(end.getExecution())).isEqualTo(Execution.RAN);
        assertThat(entry.statuses(ATTEMPT)).containsExactly(409);
        assertThat(entry.chunks(ATTEMPT)).containsExactly("twice");
        assertThat(endpoint.requests("POST /issues?year=3").get(0).headers().stream()
                        .map(header -> header.getKey())
                        .toList())
                .containsExactly("idempotency-key", "host", "content-length");
    }

    private void begin(ServiceKind kind) {
        sidecar = SidecarProcess.start(SidecarSettings.of(
                VmId.of("sidecar-1", 1),
                "here",
                "127.0.0.1",
                0,
                0,
                "tutor",
                kind,
                endpoint.address(),
                Optional.empty(),
                SECRET));
        entry = FakeEntry.connect("entry-1", SECRET, sidecar.linkPort()).awaitOpen();
    }

    private static AttemptStart chat(long attempt, long epoch) {
        AttemptStart start = new AttemptStart();
        start.setAttempt(attempt);
        start.setShard(3);
        start.setEpoch(epoch);
        start.setProgram("program");
        start.setMethod("POST");
        start.setBody(ByteBuffer.wrap(BODY));
        start.setRemainingMillis(5_000);
        start.setStallMillis(2_000);
        start.setRepeatable(true);
        start.setCacheLeaseMillis(10_000);
        return start;
    }
}
