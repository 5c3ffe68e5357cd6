package org.quetzalshunt.app.deployment;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.standin.engine.BatchSettings;
import org.quetzalshunt.standin.engine.EngineSettings;
import org.quetzalshunt.standin.engine.StandinAnswer;
import org.quetzalshunt.wire.json.Json;

/** Requests that are sent to several entries at once, with idempotency keys that are used again. */
final class EntryResponsesTest {
    private static final int REQUESTS = 8;

    private final ApiClient client = ApiClient.create();
    private final ExecutorService senders = Executors.newFixedThreadPool(3 * REQUESTS);

    @AfterEach
    void close() {
        senders.shutdownNow();
    }

    private static DeploymentPlan plan() {
        return DeploymentPlan.demo().withEngine(EngineSettings.defaults().withBatch(BatchSettings.quick()));
    }

    private CompletableFuture<ApiClient.Response> post(
            Deployment deployment, String url, String path, String idempotencyKey, byte[] body) {
        Map<String, String> headers = new HashMap<>();
        headers.put("authorization", "Bearer " + deployment.keys().callerKey("arusha"));
        headers.put("content-type", "application/json");
        headers.put("idempotency-key", idempotencyKey);
        return CompletableFuture.supplyAsync(() -> postWithRateRetries(url + path, headers, body), senders);
    }

    private ApiClient.Response postWithRateRetries(String url, Map<String, String> headers, byte[] body) {
        ApiClient.Response response = client.send("POST", url, headers, body);
        for (int attempt = 0; attempt < 60 && response.code() == ResultCode.RATE_EXCEEDED.number(); attempt++) {
            ApiClient.pause(250);
            response = client.send("POST", url, headers, body);
        }
        return response;
    }

    private static ArrayNode messages(int number) {
        ArrayNode messages = Json.array();
        messages.addObject().put("role", "user").put("content", "what holds arch " + number);
        return messages;
    }

    private static byte[] chat(int number) {
        ObjectNode body = Json.object().put("model", Deployment.CHAT_SERVICE).put("stream", false);
        body.set("messages", messages(number));
        return Json.bytes(body);
    }

    /**
     * Guards against a stored or awaited result that is sent to another request: each key is sent to all entries at
     * once, and all requests share the connections and links between the entries.
     */
    @Test
    void requestsWithOneKeyGetTheResultOfTheirKey() throws Exception {
        try (Deployment deployment = Deployment.start(plan().withVms(3, 2, 2))) {
            List<List<CompletableFuture<ApiClient.Response>>> calls = new ArrayList<>();
            List<List<CompletableFuture<ApiClient.Response>>> turns = new ArrayList<>();
            for (int number = 0; number < REQUESTS; number++) {
                byte[] order = Json.bytes(Json.object().put("stones", number));
                List<CompletableFuture<ApiClient.Response>> call = new ArrayList<>();
                List<CompletableFuture<ApiClient.Response>> turn = new ArrayList<>();
                for (String url : deployment.entryUrls()) {
                    call.add(post(deployment, url, "/v1/services/walls/orders", "order-" + number, order));
                    turn.add(post(deployment, url, "/v1/chat/completions", "turn-" + number, chat(number)));
                }
                calls.add(call);
                turns.add(turn);
            }
            for (int number = 0; number < REQUESTS; number++) {
                byte[] order = Json.bytes(Json.object().put("stones", number));
                String digest = HexFormat.of()
                        .formatHex(MessageDigest.getInstance("SHA-256").digest(order));
                for (ApiClient.Response response : join(calls.get(number))) {
                    assertThat(response.json().path("bodySha256").asText()).isEqualTo(digest);
                }
                String text = StandinAnswer.to(messages(number)).text();
                for (ApiClient.Response response : join(turns.get(number))) {
                    assertThat(response.json()
                                    .path("choices")
                                    .path(0)
                                    .path("message")
                                    .path("content")
                                    .asText())
                            .isEqualTo(text);
                }
            }
        }
    }

    private static List<ApiClient.Response> join(List<CompletableFuture<ApiClient.Response>> responses) {
        List<ApiClient.Response> joined =
                responses.stream().map(CompletableFuture::join).toList();
        joined.forEach(response ->
                assertWithMessage(response.text()).that(response.status()).isEqualTo(200));
        return joined;
    }
}
