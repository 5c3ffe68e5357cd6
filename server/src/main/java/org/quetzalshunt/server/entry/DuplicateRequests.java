package org.quetzalshunt.server.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.quetzalshunt.core.program.StoredAnswer;
import org.quetzalshunt.core.result.Outcome;
import org.quetzalshunt.core.result.Refusal;

/** Re-sent requests that wait for the result of the original request, which is still in progress. */
final class DuplicateRequests {
    private final Map<String, List<Consumer<Outcome<StoredAnswer>>>> waitersByRequestId = new HashMap<>();

    void add(String requestId, Consumer<Outcome<StoredAnswer>> waiter) {
        waitersByRequestId
                .computeIfAbsent(requestId, ignored -> new ArrayList<>())
                .add(waiter);
    }

    void onAnswer(String requestId, StoredAnswer answer) {
        finish(requestId, Outcome.success(answer));
    }

    void onRefusal(String requestId, Refusal refusal) {
        finish(requestId, Outcome.failure(refusal));
    }

    private void finish(String requestId, Outcome<StoredAnswer> outcome) {
        List<Consumer<Outcome<StoredAnswer>>> waiters = waitersByRequestId.remove(requestId);
        if (waiters != null) {
            waiters.forEach(waiter -> waiter.accept(outcome));
        }
    }
}
