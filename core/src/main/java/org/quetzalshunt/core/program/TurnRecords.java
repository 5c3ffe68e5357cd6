package org.quetzalshunt.core.program;

import java.util.List;

/** Builds the record of a completed turn. */
final class TurnRecords {
    private TurnRecords() {}

    static ShardRecord.TurnEnded ended(
            long nowMillis, long epoch, Program program, TurnStart start, TurnResult result) {
        TurnRequest request = start.request();
        List<byte[]> prompt = start.prompt();
        List<byte[]> newMessages = prompt.subList(prompt.size() - start.newMessageCount(), prompt.size());
        return new ShardRecord.TurnEnded(
                epoch,
                program.id,
                start.turn(),
                request.requestId(),
                request.idempotencyKey(),
                request.digest(),
                program.history.hash(),
                MessageList.join(newMessages),
                result.answer(),
                result.stored(),
                result.usage(),
                spentTokens(start, result),
                request.implicitProgram() ? 0 : TurnPlanner.defaultReservationTokens(request.limits()),
                nowMillis);
    }

    /**
     * A turn costs the tokens that it added to the context, so each message is charged once, however often an engine
     * processes it again. Recomputing evicted cache entries is not charged to the program.
     */
    static long spentTokens(TurnStart start, TurnResult result) {
        long addedPromptTokens = Math.max(0, result.usage().promptTokens() - start.contextTokens());
        return addedPromptTokens + result.usage().completionTokens();
    }
}
