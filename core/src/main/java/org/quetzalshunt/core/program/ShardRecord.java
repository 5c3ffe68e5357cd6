package org.quetzalshunt.core.program;

import java.util.Optional;

/** A record of a shard's stream. Every reader applies the same rule to it, in the order of the stream. */
public sealed interface ShardRecord {

    /** Takes or gives up the shard; valid only when based on the epoch in force. Its offset + 1 is the new epoch. */
    record Claim(long basedOnEpoch, String vm, long incarnation, boolean release) implements ShardRecord {}

    /** Makes a program. Valid when no program has the id. */
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

    /** Ends a turn. Valid when it is the program's next one and extends its history. */
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
            TurnUsage usage,
            long spentTokens,
            long nextReservationTokens,
            long endedMillis)
            implements ShardRecord {}

    /** Reserves more for the next turn than the last record did. */
    record ReservationRaised(long epoch, String program, long tokens) implements ShardRecord {}

    /** Spending of an attempt that ran and gave no turn. */
    record BudgetCharged(long epoch, String program, long tokens) implements ShardRecord {}

    /** A call that must run at most once is about to be dispatched. */
    record CallIntent(
            long epoch,
            String clientAccount,
            String idempotencyKey,
            String service,
            String requestId,
            byte[] requestDigest,
            long intendedMillis)
            implements ShardRecord {}

    /** The outcome of such a call. */
    record CallEnded(
            long epoch,
            String clientAccount,
            String idempotencyKey,
            String requestId,
            int resultCode,
            StoredAnswer stored,
            long endedMillis)
            implements ShardRecord {}

    /** Ends a program; its result code says why. */
    record ProgramEnded(long epoch, String program, int resultCode, long endedMillis) implements ShardRecord {}

    /** The state below an offset, in place of the records that retention drops. */
    record Checkpoint(long epoch, long coversBelow, int part, int parts, byte[] state) implements ShardRecord {}
}
