package org.quetzalshunt.core.program;

import java.util.Optional;
import java.util.OptionalInt;

/** Entity: one program as folded from the stream. */
final class Program {
    final String id;
    final String clientAccount;
    final Optional<String> parent;
    final long budgetTokens;
    final long createdMillis;
    final boolean implicitProgram;
    final String createdBy;
    final History history = new History();
    int turns;
    /** Request whose turn was the last to end. */
    String lastRequestId = "";
    /** Request whose turn came to its end after the program's, and was charged once all the same. */
    String chargedAfterEnd = "";

    long contextTokens;
    /** Spending of this program and, for a root, of its whole tree. */
    long spentTokens;
    /** What the next turn may cost at most by what the stream says; counted as spent after a crash of the owner. */
    long recordedReservation;

    long lastActiveMillis;
    OptionalInt endedCode = OptionalInt.empty();
    long endedMillis;
    /** Reservations of turns that run now; kept by the owner only. */
    long liveReservations;

    Program(ShardRecord.ProgramCreated created) {
        this.id = created.program();
        this.clientAccount = created.clientAccount();
        this.parent = created.parent();
        this.budgetTokens = created.budgetTokens();
        this.createdMillis = created.createdMillis();
        this.implicitProgram = created.implicitProgram();
        this.createdBy = created.requestId();
        this.recordedReservation = created.reservationTokens();
        this.lastActiveMillis = created.createdMillis();
    }

    boolean isRoot() {
        return parent.isEmpty();
    }

    boolean isEnded() {
        return endedCode.isPresent();
    }
}
