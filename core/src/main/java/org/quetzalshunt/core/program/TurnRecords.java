package org.quetzalshunt.core.program;

import java.util.List;

/** Builds the record that ends a turn. */
final class TurnRecords {
    private TurnRecords() {}

    static ShardRecord.TurnEnded ended(
            long nowMillis, long epoch, Program program, TurnStart start, TurnResult result) {
        TurnRequest request = start.request();
        List<byte[]> prompt = start.prompt();
        List<byte[]> fresh = prompt.subList(prompt.size() - start.newMessages(), prompt.size());
        return new ShardRecord.TurnEnded(
                epoch,
                program.id,
                start.turn(),
                request.requestId(),
                request.idempotencyKey(),
                request.digest(),
                program.history.hash(),
                MessageList.join(fresh),
                result.answer(),
                result.stored(),
                result.usage(),
                spent(start, result),
                request.implicitProgram() ? 0 : TurnPlanner.usualReservation(request.limits()),
                nowMillis);
    }

    /**
     * A turn costs the tokens by which it made the context longer: each message is paid once, however often the engine
     * reads it again. An engine that evicts and computes again costs the operator, not the program.
     */
    static long spent(TurnStart start, TurnResult result) {
        long grown = Math.max(0, result.usage().promptTokens() - start.contextTokens());
        return grown + result.usage().completionTokens();
    }
}
