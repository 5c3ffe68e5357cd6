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

/** One agent program of the demo: turns with tool pauses, a sub-agent, and an order that may be placed only once. */
final class DemoProgram implements Runnable {
    private static final int TURNS = 4;
    private static final int BUDGET = 12_000;
    private static final int SMALL_BUDGET = 260;
    private static final int MAXIMUM_TOKENS = 24;
    private static final int LONGEST_PAUSE_MILLIS = 900;
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

    /** Whether this program is one whose budget runs out on the way, which is its right end. */
    private boolean runsOutOfBudget() {
        return number % SMALL_BUDGET_EVERY == SMALL_BUDGET_EVERY - 1;
    }

    @Override
    public void run() {
        tally.program();
        Optional<String> id = create(Optional.empty(), runsOutOfBudget() ? SMALL_BUDGET : BUDGET);
        if (id.isEmpty() || !turns(id.get(), TURNS)) {
            tally.lost();
            return;
        }
        if (!runsOutOfBudget() && !order()) {
            tally.lost();
            return;
        }
        end(id.get());
        tally.finished();
    }

    private Optional<String> create(Optional<String> parent, int budget) {
        ObjectNode body = Json.object().put("budgetTokens", budget);
        parent.ifPresent(value -> body.put("parent", value));
        String key = "create-" + number + parent.map(value -> "-sub").orElse("");
        ApiClient.Response made = caller.send("POST", "/v1/programs", key, Map.of(), Json.bytes(body));
        return made.status() == 201 ? Optional.of(made.json().path("id").asText()) : Optional.empty();
    }

    private boolean turns(String id, int count) {
        ArrayNode history = Json.array();
        for (int turn = 1; turn <= count; turn++) {
            history.addObject().put("role", "user").put("content", "program " + number + " course " + turn);
            ApiClient.Response answer = turn(id, turn, history);
            if (answer.code() == ResultCode.BUDGET_EXHAUSTED.number()) {
                return runsOutOfBudget();
            }
            if (answer.status() != 200) {
                return false;
            }
            JsonNode message = answer.json().path("choices").path(0).path("message");
            check(answer, message, turn, history);
            history.add(message);
            ApiClient.pause(random.nextInt(LONGEST_PAUSE_MILLIS));
            if (turn == 2 && number % SUB_AGENT_EVERY == 0 && !subAgent(id)) {
                return false;
            }
        }
        return true;
    }

    private ApiClient.Response turn(String id, int turn, ArrayNode history) {
        ObjectNode body = Json.object();
        body.put("model", Deployment.CHAT_SERVICE);
        body.put("max_tokens", MAXIMUM_TOKENS);
        body.set("messages", history);
        Map<String, String> headers = new HashMap<>();
        headers.put("quetzalshunt-program", id);
        headers.put("quetzalshunt-turn", Integer.toString(turn));
        return caller.send("POST", "/v1/chat/completions", "turn-" + id + "-" + turn, headers, Json.bytes(body));
    }

    /** The stand-in's answer is a function of all messages, so a mixed, cut or wrong history shows. */
    private void check(ApiClient.Response answer, JsonNode message, int turn, ArrayNode history) {
        tally.turn();
        int bound = answer.json().path("usage").path("completion_tokens").asInt(0);
        String expected = StandinAnswer.to(history, runsOutOfBudget() ? bound : MAXIMUM_TOKENS)
                .text();
        if (!message.path("content").asText().equals(expected)) {
            tally.cut();
        }
        boolean otherTurn = answer.header("quetzalshunt-turn")
                .filter(value -> !value.equals(Integer.toString(turn)))
                .isPresent();
        if (otherTurn) {
            tally.outOfOrder();
        }
    }

    private boolean subAgent(String parent) {
        Optional<String> child = create(Optional.of(parent), BUDGET / 4);
        return child.isPresent() && turns(child.get(), 1);
    }

    private boolean order() {
        ObjectNode body = Json.object().put("stones", 10 + number);
        ApiClient.Response answer = caller.send(
                "POST",
                "/v1/services/" + Deployment.PLAIN_SERVICE + "/orders",
                "order-" + number,
                Map.of(),
                Json.bytes(body));
        return answer.status() == 200 || answer.code() == ResultCode.OUTCOME_UNKNOWN.number();
    }

    private void end(String id) {
        ApiClient.Response ended = caller.send("DELETE", "/v1/programs/" + id, "end-" + id, Map.of(), new byte[0]);
        JsonNode view = ended.json();
        if (view.path("spentTokens").asLong() > view.path("budgetTokens").asLong()) {
            tally.overBudget();
        }
    }
}
