package org.quetzalshunt.server.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.quetzalshunt.core.program.ProgramView;
import org.quetzalshunt.core.result.Outcome;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.wire.json.Json;

/**
 * Request body of {@code POST /v1/programs}. Also writes the JSON form of a program for responses.
 *
 * @param budgetTokens token budget; empty for the default
 * @param parent id of the parent program if the new program is a sub-agent
 */
record ProgramBody(Optional<Long> budgetTokens, Optional<String> parent) {
    private static final long MAXIMUM_BUDGET = 1_000_000_000_000L;

    static Outcome<ProgramBody> read(byte[] body) {
        if (body.length == 0) {
            return Outcome.success(new ProgramBody(Optional.empty(), Optional.empty()));
        }
        Optional<JsonNode> parsed = Json.parse(body).filter(JsonNode::isObject);
        if (parsed.isEmpty()) {
            return refuse(ResultCode.MALFORMED_REQUEST, "the body is not one JSON object");
        }
        JsonNode budget = parsed.get().path("budgetTokens");
        if (!budget.isMissingNode()
                && (!budget.isIntegralNumber() || budget.asLong() < 1 || budget.asLong() > MAXIMUM_BUDGET)) {
            return refuse(ResultCode.INVALID_FIELD, "budgetTokens must be a positive integer");
        }
        JsonNode parent = parsed.get().path("parent");
        if (!parent.isMissingNode() && !parent.isNull() && !parent.isTextual()) {
            return refuse(ResultCode.INVALID_FIELD, "parent must be a string with a program id");
        }
        return Outcome.success(new ProgramBody(
                budget.isMissingNode() ? Optional.empty() : Optional.of(budget.asLong()),
                parent.isTextual() ? Optional.of(parent.asText()) : Optional.empty()));
    }

    static ObjectNode toJson(ProgramView view) {
        ObjectNode node = Json.object();
        node.put("id", view.id());
        view.parent().ifPresent(parent -> node.put("parent", parent));
        node.put("budgetTokens", view.budgetTokens());
        node.put("spentTokens", view.spentTokens());
        node.put("turns", view.turns());
        node.put("queued", view.queued());
        node.put("state", view.endedCode().isPresent() ? "ended" : view.running() ? "running" : "idle");
        view.endedCode().ifPresent(code -> node.put("endedCode", code));
        node.put("lastActiveMillis", view.lastActiveMillis());
        return node;
    }

    private static Outcome<ProgramBody> refuse(ResultCode code, String detail) {
        return Outcome.failure(Refusal.notRun(code, detail));
    }
}
