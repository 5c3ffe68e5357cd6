package org.quetzalshunt.core.program;

import java.util.Optional;

/** A record of a shard's stream. Every reader applies the records in stream order, with the same rules. */
public sealed interface ShardRecord {

    /**
     * Acquires or releases ownership of the shard. Valid only if based on the current epoch; starts epoch offset + 1.
     */
    record Claim(long basedOnEpoch, String vm, long incarnation, boolean release) implements ShardRecord {}

    /** Creates a program. Valid only if no program has the id and any parent is active and of the same account. */
    record ProgramCreated(
            long epoch,
            String program,
            String clientAccount,
            Optional<String> parent,
            long budgetTokens,
            long reservationTokens,
            long createdMillis,
            boolean implicitProgram,
            String requestId)
            implements ShardRecord {}

    /** Completes a turn. Valid only if it is the program's next turn and extends its history. */
    record TurnEnded(
            long epoch,
            String program,
            int turn,
            String requestId,
            Optional<String> idempotencyKey,
            byte[] requestDigest,
            byte[] previousHash,
            byte[] messages,
            byte[] answer,
            StoredAnswer stored,
            TokenUsage usage,
            long spentTokens,
            long nextReservationTokens,
            long endedMillis)
            implements ShardRecord {}

    /** Raises the reservation for the next turn above the recorded one. */
    record ReservationRaised(long epoch, String program, long tokens) implements ShardRecord {}

    /** Charges the tokens of an attempt that ran but did not complete its turn. */
    record BudgetCharged(long epoch, String program, long tokens) implements ShardRecord {}

    /** Announces that a call that must run at most once will be dispatched. */
    record CallIntent(
            long epoch,
            String clientAccount,
            String idempotencyKey,
            String service,
            String requestId,
            byte[] requestDigest,
            long intendedMillis)
            implements ShardRecord {}

    /** Records the outcome of a call that has a {@link CallIntent}. */
    record CallEnded(
            long epoch,
            String clientAccount,
            String idempotencyKey,
            String requestId,
            int resultCode,
            StoredAnswer stored,
            long endedMillis)
            implements ShardRecord {}

    /** Ends a program for the reason given by the result code. */
    record ProgramEnded(long epoch, String program, int resultCode, long endedMillis) implements ShardRecord {}

    /** One part of a snapshot of the state below an offset, which replaces the records that retention deletes. */
    record Checkpoint(long epoch, long coversBelow, int part, int parts, byte[] state) implements ShardRecord {}
}
