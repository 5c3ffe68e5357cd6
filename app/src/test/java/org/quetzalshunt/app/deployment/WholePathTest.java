package org.quetzalshunt.app.deployment;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.standin.engine.BatchSettings;
import org.quetzalshunt.standin.engine.EngineSettings;
import org.quetzalshunt.standin.engine.StandinAnswer;
import org.quetzalshunt.wire.json.Json;

/** Sends requests over real sockets through entries and sidecars to stand-ins. */
final class WholePathTest {
    private final ApiClient client = ApiClient.create();

    private static DeploymentPlan quickPlan() {
        return DeploymentPlan.demo().withEngine(EngineSettings.defaults().withBatch(BatchSettings.quick()));
    }

    private ApiClient.Response post(
            Deployment deployment, String url, String path, Map<String, String> extraHeaders, byte[] body) {
        Map<String, String> headers = new HashMap<>(extraHeaders);
        headers.put("authorization", "Bearer " + deployment.keys().callerKey("arusha"));
        headers.put("content-type", "application/json");
        return client.send("POST", url + path, headers, body);
    }

    /**
     * Retries while the account is over its rate limit, as a caller does on status 429. The quota shares of killed
     * entries stay unavailable until their leases expire.
     */
    private ApiClient.Response postWithRateRetries(
            Deployment deployment, String url, String path, Map<String, String> extraHeaders, byte[] body) {
        ApiClient.Response response = post(deployment, url, path, extraHeaders, body);
        for (int attempt = 0; attempt < 60 && response.code() == ResultCode.RATE_EXCEEDED.number(); attempt++) {
            assertThat(response.execution()).isEqualTo("not run");
            ApiClient.pause(250);
            response = post(deployment, url, path, extraHeaders, body);
        }
        return response;
    }

    private static byte[] chatBody(ArrayNode messages, boolean stream) {
        ObjectNode body = Json.object();
        body.put("model", Deployment.CHAT_SERVICE);
        body.put("stream", stream);
        body.set("messages", messages);
        return Json.bytes(body);
    }

    private static ArrayNode userMessages(String text) {
        ArrayNode messages = Json.array();
        messages.addObject().put("role", "user").put("content", text);
        return messages;
    }

    /**
     * Guards against a program that is lost, or that loses its first turn, when entries crash between two turns. The
     * second turn is sent to another entry, which must take over the program with its whole history.
     */
    @Test
    void programKeepsItsHistoryWhenItsEntryCrashes() {
        try (Deployment deployment = Deployment.start(quickPlan().withVms(3, 2, 0))) {
            List<String> urls = deployment.entryUrls();
            ApiClient.Response created = post(
                    deployment,
                    urls.get(0),
                    "/v1/programs",
                    Map.of(),
                    Json.bytes(Json.object().put("budgetTokens", 5_000)));
            assertThat(created.status()).isEqualTo(201);
            String program = created.json().path("id").asText();
            ArrayNode history = userMessages("which stone goes first");
            Map<String, String> headers = Map.of("quetzalshunt-program", program);
            ApiClient.Response first =
                    post(deployment, urls.get(0), "/v1/chat/completions", headers, chatBody(history, false));
            assertWithMessage(first.text()).that(first.status()).isEqualTo(200);
            JsonNode firstMessage = first.json().path("choices").path(0).path("message");
            assertThat(firstMessage.path("content").asText())
                    .isEqualTo(StandinAnswer.to(history).text());

            for (String name : List.of("entry-0", "entry-1")) {
                deployment.killEntry(name);
                deployment.deregisterVm(name);
            }

            history.add(firstMessage);
            history.addObject().put("role", "user").put("content", "and the second");
            ApiClient.Response second = postWithRateRetries(
                    deployment,
                    deployment.entryUrls().get(0),
                    "/v1/chat/completions",
                    headers,
                    chatBody(userMessages("and the second"), false));
            assertThat(second.text()).contains("choices");
            assertThat(second.json()
                            .path("choices")
                            .path(0)
                            .path("message")
                            .path("content")
                            .asText())
                    .isEqualTo(StandinAnswer.to(history).text());
            assertThat(second.header("quetzalshunt-turn")).hasValue("2");
        }
    }

    /**
     * Guards against a call that runs twice when a caller sends it again to another entry under the same idempotency
     * key. Both responses must be equal.
     */
    @Test
    void callResentToAnotherEntryRunsOnce() {
        try (Deployment deployment = Deployment.start(quickPlan().withVms(3, 0, 2))) {
            List<String> urls = deployment.entryUrls();
            Map<String, String> headers = Map.of("idempotency-key", "order-17");
            byte[] body = Json.bytes(Json.object().put("stones", 40));
            ApiClient.Response first = post(deployment, urls.get(0), "/v1/services/walls/orders", headers, body);
            ApiClient.Response again = post(deployment, urls.get(2), "/v1/services/walls/orders", headers, body);
            assertWithMessage(first.text()).that(first.status()).isEqualTo(200);
            assertThat(again.text()).isEqualTo(first.text());
            long runs = deployment.standinUrls().entrySet().stream()
                    .filter(entry -> entry.getKey().startsWith("walls"))
                    .mapToLong(entry -> client.send("GET", entry.getValue() + "/standin/runs", Map.of(), new byte[0])
                            .json()
                            .path("runs")
                            .size())
                    .sum();
            assertThat(runs).isEqualTo(1);
        }
    }

    /**
     * Guards against an entry that counts as not ready, and so refuses every request, while the outcome of its append
     * to the log is unknown. The log service is down for 5 s and a key is withdrawn during the outage. Requests must
     * still be accepted and answered; the end of an answer is delayed until its record is stored.
     */
    @Test
    void anOutageOfTheLogRefusesNobody() {
        try (Deployment deployment = Deployment.start(quickPlan().withVms(2, 1, 0))) {
            String url = deployment.entryUrls().get(0);
            ArrayNode messages = userMessages("before the outage");
            assertThat(post(deployment, url, "/v1/chat/completions", Map.of(), chatBody(messages, false))
                            .status())
                    .isEqualTo(200);
            String platform = deployment.standinUrls().get("platform");
            byte[] outage = Json.bytes(
                    Json.object().put("kind", "outage").put("count", 0).put("millis", 5_000));
            client.send("POST", platform + "/standin/faults", Map.of(), outage);
            CompletableFuture<Void> withdrawn = CompletableFuture.runAsync(() -> deployment.withdrawKey("karatu"));
            ApiClient.pause(3_000);
            for (String entry : deployment.entryUrls()) {
                ApiClient.Response response = post(
                        deployment,
                        entry,
                        "/v1/chat/completions",
                        Map.of(),
                        chatBody(userMessages("during it"), false));
                assertWithMessage(response.text()).that(response.status()).isEqualTo(200);
            }
            withdrawn.join();
        }
    }

    @Test
    void clientWithoutProgramHeadersReceivesWholeStream() {
        try (Deployment deployment = Deployment.start(quickPlan().withVms(1, 1, 0))) {
            ArrayNode messages = userMessages("how deep is the footing");
            ApiClient.Response response = post(
                    deployment,
                    deployment.entryUrls().get(0),
                    "/v1/chat/completions",
                    Map.of(),
                    chatBody(messages, true));
            StringBuilder text = new StringBuilder();
            for (String line : response.text().split("\n")) {
                if (line.startsWith("data: {")) {
                    JsonNode chunk = Json.parse(line.substring(6).getBytes(java.nio.charset.StandardCharsets.UTF_8))
                            .orElseThrow();
                    text.append(chunk.path("choices")
                            .path(0)
                            .path("delta")
                            .path("content")
                            .asText(""));
                }
            }
            assertThat(text.toString()).isEqualTo(StandinAnswer.to(messages).text());
            assertThat(response.text()).endsWith("data: [DONE]\n\n");
        }
    }
}
