package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.quetzalshunt.wire.json.Json;

/** Runs one program: creates it, runs its turns with their sub-agents and tool pauses in order, then deletes it. */
final class ProgramRun {
    private static final int MAXIMUM_ATTEMPTS = 6;
    private static final long MICROS_PER_MILLI = 1_000;

    private final LoadContext context;
    private final String account;
    private final AccountResult result;
    private final String name;
    private final ProgramPlan program;
    private final Optional<String> parent;
    private final Consumer<ProgramEnd> onEnd;
    private final ArrayNode history = Json.array();
    private String id = "";
    private int turn;

    private ProgramRun(
            LoadContext context,
            String account,
            AccountResult result,
            String name,
            ProgramPlan program,
            Optional<String> parent,
            Consumer<ProgramEnd> onEnd) {
        this.context = context;
        this.account = account;
        this.result = result;
        this.name = name;
        this.program = program;
        this.parent = parent;
        this.onEnd = onEnd;
    }

    /** Creates the run of a top-level program; {@code name} must be globally unique, as idempotency keys use it. */
    static ProgramRun create(
            LoadContext context,
            String account,
            AccountResult result,
            String name,
            ProgramPlan program,
            Consumer<ProgramEnd> onEnd) {
        return new ProgramRun(context, account, result, name, program, Optional.empty(), onEnd);
    }

    void start() {
        createProgram(1);
    }

    private void createProgram(int attempt) {
        ObjectNode body = Json.object();
        parent.ifPresentOrElse(
                parentId -> body.put("parent", parentId), () -> body.put("budgetTokens", program.budgetTokens()));
        context.client()
                .send(
                        "POST",
                        "/v1/programs",
                        key(),
                        Map.of("idempotency-key", name + "-make"),
                        body,
                        JsonCall.create(this::onCreated, failure -> retry(failure, attempt, this::createProgram)));
    }

    private void onCreated(JsonNode response) {
        id = response.path("id").asText();
        beginTurn(context.clock().micros());
    }

    private void beginTurn(long dueMicros) {
        history.addObject()
                .put("role", "user")
                .put("content", program.turns().get(turn).message());
        sendTurn(dueMicros, 1);
    }

    private void sendTurn(long dueMicros, int attempt) {
        ObjectNode body = Json.object().put("model", context.plan().service()).put("stream", true);
        body.set("messages", history);
        Map<String, String> headers = Map.of("quetzalshunt-program", id, "idempotency-key", name + "-turn-" + turn);
        ChatCall call = ChatCall.create(
                context.clock(),
                dueMicros,
                result,
                this::onAnswer,
                failure -> retry(failure, attempt, nextAttempt -> sendTurn(dueMicros, nextAttempt)));
        context.client().send("POST", "/v1/chat/completions", key(), headers, body, call);
    }

    private void onAnswer(ChatAnswer answer) {
        result.recordTurn();
        if (answer.isShortened()) {
            result.recordShortenedAnswer();
        }
        if (context.plan().checkAnswers() && !answer.matchesStandin(history)) {
            result.recordWrongAnswer();
        }
        history.addObject().put("role", "assistant").put("content", answer.text());
        runSubAgents(program.turns().get(turn).subAgents(), 0);
    }

    private void runSubAgents(List<ProgramPlan> subAgents, int index) {
        if (index == subAgents.size()) {
            pause();
            return;
        }
        String subAgentName = name + "-" + turn + "-" + index;
        Consumer<ProgramEnd> onSubAgentEnd = end -> {
            if (end == ProgramEnd.FAILED) {
                onEnd.accept(end);
                return;
            }
            runSubAgents(subAgents, index + 1);
        };
        new ProgramRun(context, account, result, subAgentName, subAgents.get(index), Optional.of(id), onSubAgentEnd)
                .start();
    }

    private void pause() {
        long pauseMillis = program.turns().get(turn).pauseMillis();
        turn++;
        if (turn == program.turns().size()) {
            delete();
            onEnd.accept(ProgramEnd.FINISHED);
            return;
        }
        long dueMicros = context.clock().micros() + pauseMillis * MICROS_PER_MILLI;
        context.client().schedule(pauseMillis, () -> beginTurn(dueMicros));
    }

    /** Deletes the program. Its end is reported without waiting for the response. */
    private void delete() {
        context.client()
                .send(
                        "DELETE",
                        "/v1/programs/" + id,
                        key(),
                        Map.of(),
                        Json.object(),
                        JsonCall.create(ignored -> {}, failure -> result.recordRefusal(failure.code())));
    }

    private void retry(CallFailure failure, int attempt, IntConsumer action) {
        result.recordRefusal(failure.code());
        if (failure.retryAfterMillis().isEmpty() || attempt >= MAXIMUM_ATTEMPTS) {
            onEnd.accept(ProgramEnd.FAILED);
            return;
        }
        context.client().schedule(failure.retryAfterMillis().getAsLong(), () -> action.accept(attempt + 1));
    }

    private String key() {
        return context.plan().keys().get(account);
    }
}
