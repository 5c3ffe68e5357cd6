package org.quetzalshunt.core.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The turns of one program that wait at the owner, in the order in which they came, and the one that runs. */
final class TurnQueue {
    /** Turns that may wait for one program; a chain of dependent calls has one, a careless caller a few. */
    static final int MAXIMUM_WAITING = 32;

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

    void run(TurnStart start) {
        running = Optional.of(start);
    }

    void runEnded() {
        running = Optional.empty();
    }

    /** Takes the first request that can be the next turn: it names that turn, or none. */
    Optional<TurnRequest> takeNext(int nextTurn) {
        for (int index = 0; index < waiting.size(); index++) {
            TurnRequest request = waiting.get(index);
            if (request.turn().isEmpty() || request.turn().getAsInt() == nextTurn) {
                waiting.remove(index);
                return Optional.of(request);
            }
        }
        return Optional.empty();
    }

    /** The request with the same idempotency key that runs or waits. */
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
