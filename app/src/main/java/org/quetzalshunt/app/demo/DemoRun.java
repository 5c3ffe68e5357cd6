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

/** Runs the programs of the demo and injects failures into the deployment while they run. */
final class DemoRun {
    private static final int PROGRAMS = 24;
    private static final long MAXIMUM_RUN_SECONDS = 60;
    private static final long STEP_INTERVAL_MILLIS = 1_200;
    private static final long WITHDRAWAL_BOUND_MILLIS = 4_000;
    /** Covers the 10 s cache lease of programs whose owner was killed and the sidecar's next check of leases. */
    private static final long CACHE_RELEASE_BOUND_MILLIS = 12_000;

    private final Deployment deployment;
    private final Consumer<String> progress;
    private final DemoTally tally = new DemoTally();
    private final ApiClient client = ApiClient.create();

    DemoRun(Deployment deployment, Consumer<String> progress) {
        this.deployment = deployment;
        this.progress = progress;
    }

    /** Runs all programs, failures and checks; returns the counts. */
    DemoTally run() {
        ExecutorService callers = Executors.newFixedThreadPool(PROGRAMS);
        for (int number = 0; number < PROGRAMS; number++) {
            String account = DemoKeys.ACCOUNTS.get(number % 2);
            DemoCaller caller =
                    new DemoCaller(deployment::entryUrls, deployment.keys().callerKey(account), tally, number);
            callers.execute(new DemoProgram(number, caller, tally));
        }
        injectFailures();
        callers.shutdown();
        try {
            if (!callers.awaitTermination(MAXIMUM_RUN_SECONDS, TimeUnit.SECONDS)) {
                callers.shutdownNow();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        progress.accept("programs done; counting runs at the endpoints");
        countRepeatedRuns();
        countHeldCacheEntries();
        return tally;
    }

    private void injectFailures() {
        step("killing entry-1", () -> deployment.killEntry("entry-1"));
        deployment.deregisterVm("entry-1");
        step("killing engine-0", () -> deployment.killEngine("engine-0"));
        step("draining endpoint engine-1", () -> deployment.drainEndpoint("engine-1"));
        step("withdrawing the key of karatu", () -> deployment.withdrawKey("karatu"));
        checkWithdrawn();
    }

    private void step(String description, Runnable action) {
        ApiClient.pause(STEP_INTERVAL_MILLIS);
        progress.accept(description);
        action.run();
    }

    /** Checks that every entry refuses a withdrawn key after {@link #WITHDRAWAL_BOUND_MILLIS}. */
    private void checkWithdrawn() {
        ApiClient.pause(WITHDRAWAL_BOUND_MILLIS);
        String key = deployment.keys().callerKey("karatu");
        byte[] body = Json.bytes(Json.object()
                .put("model", Deployment.CHAT_SERVICE)
                .set(
                        "messages",
                        Json.array().add(Json.object().put("role", "user").put("content", "hello"))));
        for (String url : deployment.entryUrls()) {
            ApiClient.Response response =
                    client.send("POST", url + "/v1/chat/completions", Map.of("authorization", "Bearer " + key), body);
            if (response.status() == 200) {
                tally.recordAcceptedAfterWithdrawal();
            } else {
                tally.recordRefusal(response.code());
            }
        }
    }

    private void countRepeatedRuns() {
        Map<String, Integer> runs = new HashMap<>();
        deployment.standinUrls().forEach((name, url) -> {
            if (!name.startsWith(Deployment.PLAIN_SERVICE)) {
                return;
            }
            JsonNode response = client.send("GET", url + "/standin/runs", Map.of(), new byte[0])
                    .json();
            response.path("runs")
                    .forEach(run -> runs.merge(run.path("idempotencyKey").asText(), 1, Integer::sum));
        });
        tally.recordDoubled(runs.values().stream().mapToInt(count -> count - 1).sum());
    }

    /**
     * Counts the held cache entries of the running engines. Called after the programs have ended, so that the engines
     * must release all entries within {@link #CACHE_RELEASE_BOUND_MILLIS}.
     */
    private void countHeldCacheEntries() {
        long deadline = System.currentTimeMillis() + CACHE_RELEASE_BOUND_MILLIS;
        List<String> held = heldCacheKeys();
        while (!held.isEmpty() && System.currentTimeMillis() < deadline) {
            ApiClient.pause(200);
            held = heldCacheKeys();
        }
        tally.recordHeldAfterEnd(held.size());
    }

    private List<String> heldCacheKeys() {
        List<String> held = new ArrayList<>();
        deployment.standinUrls().forEach((name, url) -> {
            if (name.startsWith("engine")) {
                JsonNode response = client.send("GET", url + "/engine/cache", Map.of(), new byte[0])
                        .json();
                response.path("entries").forEach(entry -> {
                    if (entry.path("held").asBoolean()) {
                        held.add(entry.path("key").asText());
                    }
                });
            }
        });
        return held;
    }
}
