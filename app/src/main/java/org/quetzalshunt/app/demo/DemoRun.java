package org.quetzalshunt.app.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quetzalshunt.app.deployment.ApiClient;
import org.quetzalshunt.app.deployment.DemoKeys;
import org.quetzalshunt.app.deployment.Deployment;
import org.quetzalshunt.wire.json.Json;

/** Runs the programs of the demo and lets parts of the deployment fail meanwhile. */
final class DemoRun {
    private static final int PROGRAMS = 24;
    private static final long LONGEST_SECONDS = 60;
    private static final long STEP_MILLIS = 1_200;
    private static final long WITHDRAWN_WITHIN_MILLIS = 4_000;
    /** The lease of ten seconds that covers programs whose owner was killed, and a sweep. */
    private static final long FREED_WITHIN_MILLIS = 12_000;

    private final Deployment deployment;
    private final Consumer<String> progress;
    private final DemoTally tally = new DemoTally();
    private final ApiClient client = ApiClient.create();

    DemoRun(Deployment deployment, Consumer<String> progress) {
        this.deployment = deployment;
        this.progress = progress;
    }

    /** Runs everything; returns what was seen. */
    DemoTally run() {
        ExecutorService callers = Executors.newFixedThreadPool(PROGRAMS);
        for (int number = 0; number < PROGRAMS; number++) {
            String account = DemoKeys.ACCOUNTS.get(number % 2);
            DemoCaller caller =
                    new DemoCaller(deployment::entryUrls, deployment.keys().callerKey(account), tally, number);
            callers.execute(new DemoProgram(number, caller, tally));
        }
        fail();
        callers.shutdown();
        try {
            if (!callers.awaitTermination(LONGEST_SECONDS, TimeUnit.SECONDS)) {
                callers.shutdownNow();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        progress.accept("programs done; counting runs at the endpoints");
        countDoubles();
        countHeld();
        return tally;
    }

    private void fail() {
        step("killing entry-1", () -> deployment.killEntry("entry-1"));
        deployment.deregisterVm("entry-1");
        step("killing engine-0", () -> deployment.killEngine("engine-0"));
        step("draining endpoint engine-1", () -> deployment.drainEndpoint("engine-1"));
        step("withdrawing the key of karatu", () -> deployment.withdrawKey("karatu"));
        checkWithdrawn();
    }

    private void step(String what, Runnable action) {
        ApiClient.pause(STEP_MILLIS);
        progress.accept(what);
        action.run();
    }

    /** A withdrawn key must be refused at every entry within seconds. */
    private void checkWithdrawn() {
        ApiClient.pause(WITHDRAWN_WITHIN_MILLIS);
        String key = deployment.keys().callerKey("karatu");
        byte[] body = Json.bytes(Json.object()
                .put("model", Deployment.CHAT_SERVICE)
                .set(
                        "messages",
                        Json.array().add(Json.object().put("role", "user").put("content", "hello"))));
        for (String url : deployment.entryUrls()) {
            ApiClient.Response answer =
                    client.send("POST", url + "/v1/chat/completions", Map.of("authorization", "Bearer " + key), body);
            if (answer.status() == 200) {
                tally.acceptedAfterWithdrawal();
            } else {
                tally.refused(answer.code());
            }
        }
    }

    private void countDoubles() {
        Map<String, Integer> runs = new HashMap<>();
        deployment.standinUrls().forEach((name, url) -> {
            if (!name.startsWith(Deployment.PLAIN_SERVICE)) {
                return;
            }
            JsonNode answer = client.send("GET", url + "/standin/runs", Map.of(), new byte[0])
                    .json();
            answer.path("runs")
                    .forEach(run -> runs.merge(run.path("idempotencyKey").asText(), 1, Integer::sum));
        });
        tally.doubled(runs.values().stream().mapToInt(count -> count - 1).sum());
    }

    /** Every program has ended, so no engine that still runs may hold memory for one after a short while. */
    private void countHeld() {
        long deadline = System.currentTimeMillis() + FREED_WITHIN_MILLIS;
        List<String> held = held();
        while (!held.isEmpty() && System.currentTimeMillis() < deadline) {
            ApiClient.pause(200);
            held = held();
        }
        tally.heldAfterEnd(held.size());
    }

    private List<String> held() {
        List<String> held = new ArrayList<>();
        deployment.standinUrls().forEach((name, url) -> {
            if (name.startsWith("engine")) {
                JsonNode answer = client.send("GET", url + "/engine/cache", Map.of(), new byte[0])
                        .json();
                answer.path("entries").forEach(entry -> {
                    if (entry.path("held").asBoolean()) {
                        held.add(entry.path("key").asText());
                    }
                });
            }
        });
        return held;
    }
}
