package org.quetzalshunt.core.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The running turn of one program and its waiting turns in order of arrival; kept in memory by the shard's owner. */
final class TurnQueue {
    /** Waiting turns allowed per program. A caller that waits for each answer needs only one, other callers a few. */
    static final int MAXIMUM_WAITING_TURNS = 32;

    private final List<TurnRequest> waiting = new ArrayList<>();
    private Optional<TurnStart> running = Optional.empty();

    boolean isIdle() {
        return running.isEmpty() && waiting.isEmpty();
    }

    Optional<TurnStart> running() {
        return running;
    }

    List<TurnRequest> waiting() {
        return waiting;
    }

    void setRunning(TurnStart start) {
        running = Optional.of(start);
    }

    void clearRunning() {
        running = Optional.empty();
    }

    /** Removes and returns the first request that either has no expected turn number or expects this one. */
    Optional<TurnRequest> pollNext(int nextTurn) {
        for (int index = 0; index < waiting.size(); index++) {
            TurnRequest request = waiting.get(index);
            if (request.turn().isEmpty() || request.turn().getAsInt() == nextTurn) {
                waiting.remove(index);
                return Optional.of(request);
            }
        }
        return Optional.empty();
    }

    /** Finds the running or waiting request with an idempotency key. */
    Optional<TurnRequest> find(String idempotencyKey) {
        Optional<TurnRequest> found =
                running.map(TurnStart::request).filter(request -> hasKey(request, idempotencyKey));
        if (found.isPresent()) {
            return found;
        }
        return waiting.stream()
                .filter(request -> hasKey(request, idempotencyKey))
                .findFirst();
    }

    private static boolean hasKey(TurnRequest request, String idempotencyKey) {
        return request.idempotencyKey().filter(idempotencyKey::equals).isPresent();
    }
}
