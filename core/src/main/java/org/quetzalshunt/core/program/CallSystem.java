package org.quetzalshunt.core.program;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;

/**
 * Calls that must run at most once: a call starts only after its intent was folded as valid, so whoever owns the shard
 * later sees either the intent (it may have run and is never run again) or none (it can't start any more).
 */
final class CallSystem {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Supplier<ShardState> state;
    private final BiConsumer<ShardRecord, Consumer<Boolean>> submitter;
    private final ShardListener listener;
    private final CallTable calls = new CallTable();

    CallSystem(
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

    Admission offer(long nowMillis, CallRequest call) {
        Optional<Admission> running = calls.find(call);
        if (running.isPresent()) {
            return running.get();
        }
        Optional<StoredResult> result = state.get().results().find(call.clientAccount(), call.idempotencyKey());
        if (result.isPresent()) {
            return Calls.knownResult(result.get(), call.digest());
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
        return new Admission.Accepted();
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
                Refusal.notRunRetryAfter(ResultCode.NOT_OWNER, "the call's intent was not kept", RETRY_AFTER_MILLIS));
    }

    /**
     * Gives up a call whose intent is not folded yet. It certainly does not run: its intent, should it still come, is
     * taken back, so that a re-send may run. Without it a caller in an outage of the log would wait for the log's return
     * in place of an answer at its deadline.
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
