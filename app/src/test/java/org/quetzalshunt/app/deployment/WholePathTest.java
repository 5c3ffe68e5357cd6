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
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.standin.engine.BatchSettings;
import org.quetzalshunt.standin.engine.EngineSettings;
import org.quetzalshunt.standin.engine.StandinAnswer;
import org.quetzalshunt.wire.json.Json;

/** The whole path over real sockets: callers, entries, sidecars, stand-ins. */
final class WholePathTest {
    private final ApiClient client = ApiClient.create();

    private static DeploymentPlan quick() {
        return DeploymentPlan.demo().withEngine(EngineSettings.defaults().withBatch(BatchSettings.quick()));
    }

    private ApiClient.Answer post(
            Deployment deployment, String url, String path, Map<String, String> extra, byte[] body) {
        Map<String, String> headers = new HashMap<>(extra);
        headers.put("authorization", "Bearer " + deployment.keys().callerKey("arusha"));
        headers.put("content-type", "application/json");
        return client.send("POST", url + path, headers, body);
    }

    /**
     * Sends again while the answer is that the account is over its rate, as a caller does on 429: the parts that the
     * killed entries held are out of use until their leases have ended.
     */
    private ApiClient.Answer postWithinRate(
            Deployment deployment, String url, String path, Map<String, String> extra, byte[] body) {
        ApiClient.Answer answer = post(deployment, url, path, extra, body);
        for (int tries = 0; tries < 60 && answer.code() == ResultCode.RATE_EXCEEDED.number(); tries++) {
            assertThat(answer.execution()).isEqualTo("not run");
            ApiClient.pause(250);
            answer = post(deployment, url, path, extra, body);
        }
        return answer;
    }

    private static byte[] chat(ArrayNode messages, boolean stream) {
        ObjectNode body = Json.object();
        body.put("model", Deployment.CHAT_SERVICE);
        body.put("stream", stream);
        body.set("messages", messages);
        return Json.bytes(body);
    }

    private static ArrayNode user(String text) {
        ArrayNode messages = Json.array();
        messages.addObject().put("role", "user").put("content", text);
        return messages;
    }

    /**
     * A village class asks its tutor a question, the entry that answered dies, and the class asks the next one over
     * another entry. The program must go on with its whole history. Without takeover the second question would find no
     * program, or one without its first turn.
     */
    @Test
    void programSurvivesItsEntry() {
        try (Deployment deployment = Deployment.start(quick().withVms(3, 2, 0))) {
            List<String> urls = deployment.entryUrls();
            ApiClient.Answer made = post(
                    deployment,
                    urls.get(0),
                    "/v1/programs",
                    Map.of(),
                    Json.bytes(Json.object().put("budgetTokens", 5_000)));
            assertThat(made.status()).isEqualTo(201);
            String program = made.json().path("id").asText();
            ArrayNode history = user("which stone goes first");
            Map<String, String> headers = Map.of("quetzalshunt-program", program);
            ApiClient.Answer first =
                    post(deployment, urls.get(0), "/v1/chat/completions", headers, chat(history, false));
            assertWithMessage(first.text()).that(first.status()).isEqualTo(200);
            JsonNode answer = first.json().path("choices").path(0).path("message");
            assertThat(answer.path("content").asText())
                    .isEqualTo(StandinAnswer.to(history).text());

            for (String name : List.of("entry-0", "entry-1")) {
                deployment.killEntry(name);
                deployment.unlistVm(name);
            }

            history.add(answer);
            history.addObject().put("role", "user").put("content", "and the second");
            ApiClient.Answer second = postWithinRate(
                    deployment,
                    deployment.entryUrls().get(0),
                    "/v1/chat/completions",
                    headers,
                    chat(user("and the second"), false));
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
     * A librarian posts an issue record, the phone loses the answer, and the librarian's program sends it again over
     * another entry. The record must be posted once and both must hear the same.
     */
    @Test
    void resentCallRunsOnce() {
        try (Deployment deployment = Deployment.start(quick().withVms(3, 0, 2))) {
            List<String> urls = deployment.entryUrls();
            Map<String, String> headers = Map.of("idempotency-key", "order-17");
            byte[] body = Json.bytes(Json.object().put("stones", 40));
            ApiClient.Answer first = post(deployment, urls.get(0), "/v1/services/walls/orders", headers, body);
            ApiClient.Answer again = post(deployment, urls.get(2), "/v1/services/walls/orders", headers, body);
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
     * The log service is down for some seconds in the middle of a lesson, just when an operator withdraws a key. The
     * class's questions are taken and answered; the end of an answer waits until its record is kept. An entry that counts
     * as not ready while it does not know what became of its append would refuse them all.
     */
    @Test
    @Tag("known-red")
    void anOutageOfTheLogRefusesNobody() {
        try (Deployment deployment = Deployment.start(quick().withVms(2, 1, 0))) {
            String url = deployment.entryUrls().get(0);
            ArrayNode messages = user("before the outage");
            assertThat(post(deployment, url, "/v1/chat/completions", Map.of(), chat(messages, false))
                            .status())
                    .isEqualTo(200);
            String platform = deployment.standinUrls().get("platform");
            byte[] outage = Json.bytes(
                    Json.object().put("kind", "outage").put("count", 0).put("millis", 5_000));
            client.send("POST", platform + "/standin/faults", Map.of(), outage);
            CompletableFuture<Void> withdrawn = CompletableFuture.runAsync(() -> deployment.withdrawKey("karatu"));
            ApiClient.pause(3_000);
            for (String entry : deployment.entryUrls()) {
                ApiClient.Answer answer =
                        post(deployment, entry, "/v1/chat/completions", Map.of(), chat(user("during it"), false));
                assertWithMessage(answer.text()).that(answer.status()).isEqualTo(200);
            }
            withdrawn.join();
        }
    }

    @Test
    void ordinaryClientStreamsWithKeyAlone() {
        try (Deployment deployment = Deployment.start(quick().withVms(1, 1, 0))) {
            ArrayNode messages = user("how deep is the footing");
            ApiClient.Answer answer = post(
                    deployment, deployment.entryUrls().get(0), "/v1/chat/completions", Map.of(), chat(messages, true));
            StringBuilder text = new StringBuilder();
            for (String line : answer.text().split("\n")) {
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
            assertThat(answer.text()).endsWith("data: [DONE]\n\n");
        }
    }
}
