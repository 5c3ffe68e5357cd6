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

/** One program under way: made, its turns one after the other with their sub-agents and pauses, then deleted. */
final class ProgramRun {
    private static final int MAXIMUM_TRIES = 6;
    private static final long MICROS_PER_MILLI = 1_000;

    private final LoadContext context;
    private final String account;
    private final AccountResult result;
    private final String name;
    private final ProgramPlan program;
    private final Optional<String> parent;
    private final Consumer<ProgramEnd> whenEnded;
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
            Consumer<ProgramEnd> whenEnded) {
        this.context = context;
        this.account = account;
        this.result = result;
        this.name = name;
        this.program = program;
        this.parent = parent;
        this.whenEnded = whenEnded;
    }

    /** A program of an account; {@code name} is unlike that of any other program of any run. */
    static ProgramRun create(
            LoadContext context,
            String account,
            AccountResult result,
            String name,
            ProgramPlan program,
            Consumer<ProgramEnd> whenEnded) {
        return new ProgramRun(context, account, result, name, program, Optional.empty(), whenEnded);
    }

    void start() {
        make(1);
    }

    private void make(int attempt) {
        ObjectNode body = Json.object();
        parent.ifPresentOrElse(
                parentId -> body.put("parent", parentId), () -> body.put("budgetTokens", program.budgetTokens()));
        context.connection()
                .send(
                        "POST",
                        "/v1/programs",
                        key(),
                        Map.of("idempotency-key", name + "-make"),
                        body,
                        WholeCall.create(this::made, failure -> retry(failure, attempt, this::make)));
    }

    private void made(JsonNode answer) {
        id = answer.path("id").asText();
        beginTurn(context.clock().micros());
    }

    private void beginTurn(long dueMicros) {
        history.addObject()
                .put("role", "user")
                .put("content", program.turns().get(turn).message());
        call(dueMicros, 1);
    }

    private void call(long dueMicros, int attempt) {
        ObjectNode body = Json.object().put("model", context.plan().service()).put("stream", true);
        body.set("messages", history);
        Map<String, String> headers = Map.of("quetzalshunt-program", id, "idempotency-key", name + "-turn-" + turn);
        ChatCall call = ChatCall.create(
                context.clock(),
                dueMicros,
                result,
                this::answered,
                failure -> retry(failure, attempt, next -> call(dueMicros, next)));
        context.connection().send("POST", "/v1/chat/completions", key(), headers, body, call);
    }

    private void answered(ChatAnswer answer) {
        result.answered();
        if (answer.shortened()) {
            result.shortenedAnswer();
        }
        if (context.plan().checkAnswers() && !answer.belongsTo(history)) {
            result.wrongAnswer();
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
        Consumer<ProgramEnd> next = end -> {
            if (end == ProgramEnd.FAILED) {
                whenEnded.accept(end);
                return;
            }
            runSubAgents(subAgents, index + 1);
        };
        new ProgramRun(context, account, result, subAgentName, subAgents.get(index), Optional.of(id), next).start();
    }

    private void pause() {
        long pauseMillis = program.turns().get(turn).pauseMillis();
        turn++;
        if (turn == program.turns().size()) {
            delete();
            whenEnded.accept(ProgramEnd.FINISHED);
            return;
        }
        long dueMicros = context.clock().micros() + pauseMillis * MICROS_PER_MILLI;
        context.connection().after(pauseMillis, () -> beginTurn(dueMicros));
    }

    /** The caller has its answer already; nobody waits for this. */
    private void delete() {
        context.connection()
                .send(
                        "DELETE",
                        "/v1/programs/" + id,
                        key(),
                        Map.of(),
                        Json.object(),
                        WholeCall.create(ignored -> {}, failure -> result.refused(failure.code())));
    }

    private void retry(CallFailure failure, int attempt, IntConsumer again) {
        result.refused(failure.code());
        if (failure.retryAfterMillis().isEmpty() || attempt >= MAXIMUM_TRIES) {
            whenEnded.accept(ProgramEnd.FAILED);
            return;
        }
        context.connection().after(failure.retryAfterMillis().getAsLong(), () -> again.accept(attempt + 1));
    }

    private String key() {
        return context.plan().keys().get(account);
    }
}
