package org.quetzalshunt.server.entry;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.quetzalshunt.core.configuration.Configuration;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.ResponseSink;

/**
 * What runs at the owner share.
 *
 * @param clock this process's time
 * @param configuration documents in force
 * @param board work that waits or runs
 * @param attempts attempts at sidecars
 * @param runs turns under way by request id
 * @param callRuns calls under way by request id
 * @param waiters re-sends of what is under way
 * @param measures what is counted
 * @param programEnder frees what is held for a program that ended
 * @param rerouter brings a request to the present owner of its shard
 */
record OwnerContext(
        EntryClock clock,
        Configuration configuration,
        WorkBoard board,
        AttemptBoard attempts,
        Map<String, ChatRun> runs,
        Map<String, CallRun> callRuns,
        Waiters waiters,
        EntryMeasures measures,
        Consumer<String> programEnder,
        BiConsumer<OwnerRequest, ResponseSink> rerouter) {

    /**
     * Tells a refusal, or, where it only says that the shard is another entry's now, brings the request there. Its
     * idempotency key keeps it from running twice, and the caller need not know who owns what.
     */
    void refuse(OwnerRequest request, ResponseSink sink, Refusal refusal) {
        if (refusal.code() == ResultCode.NOT_OWNER && !sink.started()) {
            rerouter.accept(request, sink);
            return;
        }
        measures.refused(request.clientAccount(), refusal);
        Answers.refuse(sink, refusal, request.requestId());
    }

    /** A program's next turn goes to an endpoint: what another one holds for it is let go. */
    void programMoved(String program, String endpoint) {
        boolean moved = board.scheduler()
                .cachedAt(program)
                .filter(held -> !held.equals(endpoint))
                .isPresent();
        if (moved) {
            programEnder.accept(program);
        }
    }

    void programEnded(String program) {
        programEnder.accept(program);
        board.scheduler().cacheForgotten(program);
    }
}
