package org.quetzalshunt.server.entry;

import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.ResponseSink;

/**
 * Requests that this entry handles as the owner of their shard and whose responses are not finished. Prevents callers
 * from waiting without limit: if a result is not durable shortly after the deadline, as in a log outage, the response
 * is {@link ResultCode#OUTCOME_UNKNOWN}, and a re-send with the same idempotency key gets the actual result.
 */
final class PendingResponses {
    /**
     * Turns and calls end at their deadline by themselves; any that are still open after this margin wait for the log.
     */
    private static final long GRACE_MILLIS = 1_000;

    private final EntryClock clock;
    private final List<PendingResponse> pending = new ArrayList<>();

    PendingResponses(EntryClock clock) {
        this.clock = clock;
    }

    void add(OwnerRequest request, ResponseSink sink) {
        pending.add(new PendingResponse(request, sink));
    }

    void tick() {
        if (pending.isEmpty()) {
            return;
        }
        pending.removeIf(response -> response.sink.finished());
        List<PendingResponse> overdue = pending.stream()
                .filter(response -> clock.now() > response.request.deadlineMillis() + GRACE_MILLIS)
                .toList();
        pending.removeAll(overdue);
        overdue.forEach(response -> CallerResponses.sendError(
                response.sink,
                Refusal.withExecution(
                        ResultCode.OUTCOME_UNKNOWN,
                        Execution.UNKNOWN,
                        "not durable by the deadline; send the request again with the same idempotency key"),
                response.request.requestId()));
    }

    private record PendingResponse(OwnerRequest request, ResponseSink sink) {}
}
