package org.quetzalshunt.core.program;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;

/**
 * Executes calls of a shard that must run at most once. A call starts only after its intent record was applied as
 * valid. A later owner of the shard that finds an intent without an outcome never runs the call again, since it may
 * have run. If it finds no intent, the call did not run and can no longer start at the former owner.
 */
final class CallCoordinator {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Supplier<ShardState> state;
    private final BiConsumer<ShardRecord, Consumer<Boolean>> submitter;
    private final ShardListener listener;
    private final CallTable calls = new CallTable();

    CallCoordinator(
            Supplier<ShardState> state, BiConsumer<ShardRecord, Consumer<Boolean>> submitter, ShardListener listener) {
        this.state = state;
        this.submitter = submitter;
        this.listener = listener;
    }

    boolean isEmpty() {
        return calls.isEmpty();
    }

    void clear() {
        calls.clear();
    }

    AdmissionDecision offer(long nowMillis, CallRequest call) {
        Optional<AdmissionDecision> running = calls.find(call);
        if (running.isPresent()) {
            return running.get();
        }
        Optional<StoredResult> result = state.get().results().find(call.clientAccount(), call.idempotencyKey());
        if (result.isPresent()) {
            return IdempotencyCheck.againstStoredResult(result.get(), call.digest());
        }
        calls.add(call);
        ShardRecord.CallIntent intent = new ShardRecord.CallIntent(
                state.get().epoch(),
                call.clientAccount(),
                call.idempotencyKey(),
                call.service(),
                call.requestId(),
                call.digest(),
                nowMillis);
        submitter.accept(intent, folded -> intentFolded(nowMillis, call));
        return new AdmissionDecision.Accepted();
    }

    private void intentFolded(long offeredMillis, CallRequest call) {
        boolean valid = state.get()
                .results()
                .find(call.clientAccount(), call.idempotencyKey())
                .filter(intent -> intent.requestId().equals(call.requestId()) && !intent.ended())
                .isPresent();
        if (!calls.contains(call)) {
            if (valid) {
                end(offeredMillis, call, ResultCode.DEADLINE_PASSED, StoredAnswer.none(), kept -> {});
            }
            return;
        }
        if (valid) {
            listener.onCallStart(call);
            return;
        }
        calls.remove(call);
        listener.onRefused(
                call.requestId(),
                Refusal.notRunRetryAfter(
                        ResultCode.NOT_OWNER, "the intent record of the call was not accepted", RETRY_AFTER_MILLIS));
    }

    /**
     * Cancels a call whose intent has not been applied yet; it will not run. If the intent is applied later, it is
     * revoked by an end record, so that a repeated request may run. This lets a caller get its answer at its deadline
     * during an outage of the log.
     */
    void withdraw(CallRequest call) {
        calls.remove(call);
    }

    void end(long nowMillis, CallRequest call, ResultCode code, StoredAnswer answer, Consumer<Boolean> whenDurable) {
        ShardRecord.CallEnded ended = new ShardRecord.CallEnded(
                state.get().epoch(),
                call.clientAccount(),
                call.idempotencyKey(),
                call.requestId(),
                code.number(),
                answer,
                nowMillis);
        submitter.accept(ended, folded -> {
            calls.remove(call);
            whenDurable.accept(folded
                    && state.get()
                            .results()
                            .find(call.clientAccount(), call.idempotencyKey())
                            .filter(StoredResult::ended)
                            .isPresent());
        });
    }
}
