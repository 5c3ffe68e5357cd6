package org.quetzalshunt.server.entry;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.quetzalshunt.core.configuration.Configuration;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.ResponseSink;

/**
 * Components shared by the turns and calls in progress at the owner of a shard.
 *
 * @param clock clock of this process
 * @param configuration configuration in force
 * @param workDispatcher queued and running work
 * @param attempts attempts in progress at sidecars
 * @param chatRuns turns in progress, by request id
 * @param callRuns calls in progress, by request id
 * @param duplicateRequests re-sends that wait for a request in progress
 * @param metrics metrics of this entry
 * @param cacheReleaser releases the cached prefix of a program at the endpoint that ran its last turn
 * @param rerouter routes a request to the current owner of its shard
 */
record OwnerContext(
        EntryClock clock,
        Configuration configuration,
        WorkDispatcher workDispatcher,
        AttemptTracker attempts,
        Map<String, ChatRun> chatRuns,
        Map<String, CallRun> callRuns,
        DuplicateRequests duplicateRequests,
        EntryMetrics metrics,
        Consumer<String> cacheReleaser,
        BiConsumer<OwnerRequest, ResponseSink> rerouter) {

    /**
     * Sends an error, or, if another entry now owns the shard, routes the request there instead. The request's
     * idempotency key prevents it from running twice, and callers do not need to know which entry owns a shard.
     */
    void refuse(OwnerRequest request, ResponseSink sink, Refusal refusal) {
        if (refusal.code() == ResultCode.NOT_OWNER && !sink.started()) {
            rerouter.accept(request, sink);
            return;
        }
        metrics.countRefusal(request.clientAccount(), refusal);
        CallerResponses.sendError(sink, refusal, request.requestId());
    }

    /** Releases a program's cached prefix at its former endpoint if its next turn is dispatched to another one. */
    void releaseFormerCache(String program, String endpoint) {
        boolean isMoved = workDispatcher
                .scheduler()
                .prefixEndpoint(program)
                .filter(former -> !former.equals(endpoint))
                .isPresent();
        if (isMoved) {
            cacheReleaser.accept(program);
        }
    }

    void onProgramEnded(String program) {
        cacheReleaser.accept(program);
        workDispatcher.scheduler().removePrefixLocation(program);
    }
}
