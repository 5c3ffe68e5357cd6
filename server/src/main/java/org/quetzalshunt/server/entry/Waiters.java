package org.quetzalshunt.server.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.quetzalshunt.core.program.StoredAnswer;
import org.quetzalshunt.core.result.Outcome;
import org.quetzalshunt.core.result.Refusal;

/** Re-sends that wait for the end of the request that they repeat. */
final class Waiters {
    private final Map<String, List<Consumer<Outcome<StoredAnswer>>>> waiting = new HashMap<>();

    void add(String requestId, Consumer<Outcome<StoredAnswer>> waiter) {
        waiting.computeIfAbsent(requestId, ignored -> new ArrayList<>()).add(waiter);
    }

    void answered(String requestId, StoredAnswer answer) {
        finish(requestId, Outcome.success(answer));
    }

    void refused(String requestId, Refusal refusal) {
        finish(requestId, Outcome.failure(refusal));
    }

    private void finish(String requestId, Outcome<StoredAnswer> outcome) {
        List<Consumer<Outcome<StoredAnswer>>> waiters = waiting.remove(requestId);
        if (waiters != null) {
            waiters.forEach(waiter -> waiter.accept(outcome));
        }
    }
}
