package org.quetzalshunt.core.program;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The state of one program, which is a conversation with a history and a token budget. It is built by applying the
 * records of the shard's stream.
 */
final class Program {
    final String id;
    final String clientAccount;
    final Optional<String> parent;
    final long budgetTokens;
    final long createdMillis;
    final boolean implicitProgram;
    final String createdByRequestId;
    final History history = new History();
    int turns;
    /** Request of the last completed turn. */
    String lastRequestId = "";
    /** Request whose turn completed after the program had ended; kept so that it is charged only once. */
    String lateChargedRequestId = "";

    long contextTokens;
    /** Tokens spent by this program and, for a root, by its sub-agents. */
    long spentTokens;
    /**
     * Recorded upper bound on the cost of the next turn. Charged, within the remaining budget, when the shard is
     * claimed without a release by the former owner.
     */
    long recordedReservationTokens;

    long lastActiveMillis;
    OptionalInt endedCode = OptionalInt.empty();
    long endedMillis;
    /**
     * Tokens reserved for the running turns of this program and, for a root, of its sub-agents. Not recorded: only the
     * owner of the shard maintains it.
     */
    long activeReservationTokens;

    Program(ShardRecord.ProgramCreated created) {
        this.id = created.program();
        this.clientAccount = created.clientAccount();
        this.parent = created.parent();
        this.budgetTokens = created.budgetTokens();
        this.createdMillis = created.createdMillis();
        this.implicitProgram = created.implicitProgram();
        this.createdByRequestId = created.requestId();
        this.recordedReservationTokens = created.reservationTokens();
        this.lastActiveMillis = created.createdMillis();
    }

    boolean isRoot() {
        return parent.isEmpty();
    }

    boolean isEnded() {
        return endedCode.isPresent();
    }
}
