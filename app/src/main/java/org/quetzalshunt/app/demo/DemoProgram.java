package org.quetzalshunt.app.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.quetzalshunt.app.deployment.ApiClient;
import org.quetzalshunt.app.deployment.Deployment;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.standin.engine.StandinAnswer;
import org.quetzalshunt.wire.json.Json;

/** Runs one agent program: turns with tool pauses, a sub-agent, and an order that must be placed only once. */
final class DemoProgram implements Runnable {
    private static final int TURNS = 4;
    private static final int BUDGET_TOKENS = 12_000;
    private static final int SMALL_BUDGET_TOKENS = 260;
    private static final int MAXIMUM_ANSWER_TOKENS = 24;
    private static final int MAXIMUM_PAUSE_MILLIS = 900;
    private static final int SUB_AGENT_EVERY = 3;
    private static final int SMALL_BUDGET_EVERY = 8;

    private final int number;
    private final DemoCaller caller;
    private final DemoTally tally;
    private final SplittableRandom random;

    DemoProgram(int number, DemoCaller caller, DemoTally tally) {
        this.number = number;
        this.caller = caller;
        this.tally = tally;
        this.random = new SplittableRandom(number);
    }

    /** Whether this program has a small budget, which it is expected to exhaust. */
    private boolean runsOutOfBudget() {
        return number % SMALL_BUDGET_EVERY == SMALL_BUDGET_EVERY - 1;
    }

    @Override
    public void run() {
        tally.recordProgram();
        Optional<String> id = create(Optional.empty(), runsOutOfBudget() ? SMALL_BUDGET_TOKENS : BUDGET_TOKENS);
        if (id.isEmpty() || !runTurns(id.get(), TURNS)) {
            tally.recordLost();
            return;
        }
        if (!runsOutOfBudget() && !placeOrder()) {
            tally.recordLost();
            return;
        }
        endProgram(id.get());
        tally.recordFinished();
    }

    private Optional<String> create(Optional<String> parent, int budget) {
        ObjectNode body = Json.object().put("budgetTokens", budget);
        parent.ifPresent(value -> body.put("parent", value));
        String key = "create-" + number + parent.map(value -> "-sub").orElse("");
        ApiClient.Response created = caller.send("POST", "/v1/programs", key, Map.of(), Json.bytes(body));
        return created.status() == 201 ? Optional.of(created.json().path("id").asText()) : Optional.empty();
    }

    private boolean runTurns(String id, int count) {
        ArrayNode history = Json.array();
        for (int turn = 1; turn <= count; turn++) {
            history.addObject().put("role", "user").put("content", "program " + number + " course " + turn);
            ApiClient.Response response = sendTurn(id, turn, history);
            if (response.code() == ResultCode.BUDGET_EXHAUSTED.number()) {
                return runsOutOfBudget();
            }
            if (response.status() != 200) {
                return false;
            }
            JsonNode message = response.json().path("choices").path(0).path("message");
            checkAnswer(response, message, turn, history);
            history.add(message);
            ApiClient.pause(random.nextInt(MAXIMUM_PAUSE_MILLIS));
            if (turn == 2 && number % SUB_AGENT_EVERY == 0 && !runSubAgent(id)) {
                return false;
            }
        }
        return true;
    }

    private ApiClient.Response sendTurn(String id, int turn, ArrayNode history) {
        ObjectNode body = Json.object();
        body.put("model", Deployment.CHAT_SERVICE);
        body.put("max_tokens", MAXIMUM_ANSWER_TOKENS);
        body.set("messages", history);
        Map<String, String> headers = new HashMap<>();
        headers.put("quetzalshunt-program", id);
        headers.put("quetzalshunt-turn", Integer.toString(turn));
        return caller.send("POST", "/v1/chat/completions", "turn-" + id + "-" + turn, headers, Json.bytes(body));
    }

    /**
     * Compares an answer with the expected one. The stand-in engine computes its answer from all messages, so a history
     * that is incomplete or mixed with another program's gives a different answer.
     */
    private void checkAnswer(ApiClient.Response response, JsonNode message, int turn, ArrayNode history) {
        tally.recordTurn();
        int answerTokens =
                response.json().path("usage").path("completion_tokens").asInt(0);
        String expected = StandinAnswer.to(history, runsOutOfBudget() ? answerTokens : MAXIMUM_ANSWER_TOKENS)
                .text();
        if (!message.path("content").asText().equals(expected)) {
            tally.recordCut();
        }
        boolean isOtherTurn = response.header("quetzalshunt-turn")
                .filter(value -> !value.equals(Integer.toString(turn)))
                .isPresent();
        if (isOtherTurn) {
            tally.recordOutOfOrder();
        }
    }

    private boolean runSubAgent(String parent) {
        Optional<String> child = create(Optional.of(parent), BUDGET_TOKENS / 4);
        return child.isPresent() && runTurns(child.get(), 1);
    }

    private boolean placeOrder() {
        ObjectNode body = Json.object().put("stones", 10 + number);
        ApiClient.Response response = caller.send(
                "POST",
                "/v1/services/" + Deployment.PLAIN_SERVICE + "/orders",
                "order-" + number,
                Map.of(),
                Json.bytes(body));
        return response.status() == 200 || response.code() == ResultCode.OUTCOME_UNKNOWN.number();
    }

    private void endProgram(String id) {
        ApiClient.Response ended = caller.send("DELETE", "/v1/programs/" + id, "end-" + id, Map.of(), new byte[0]);
        JsonNode programView = ended.json();
        if (programView.path("spentTokens").asLong()
                > programView.path("budgetTokens").asLong()) {
            tally.recordOverBudget();
        }
    }
}
