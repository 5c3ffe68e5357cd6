package org.quetzalshunt.server.gateway;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * The token grant of one turn: requested once from the budget; tokens that the turn did not deliver are returned at
 * its end.
 */
final class TurnGrant {
    private final Gateway gateway;
    private final AdmittedRequest admitted;
    private final Optional<String> program;
    private boolean granted;
    private boolean reserved;
    private boolean closed;

    TurnGrant(Gateway gateway, AdmittedRequest admitted) {
        this.gateway = gateway;
        this.admitted = admitted;
        this.program = admitted.budgetedProgram();
    }

    /** Whether the tokens are granted, so that events may be sent to the caller. */
    boolean granted() {
        return granted;
    }

    /**
     * Whether the turn may be sent to an endpoint before its tokens are granted. This is the case if it consumes no
     * budget, if it begins a program that is new to this VM and whose whole budget covers the turn, or if the budget,
     * as last read, has room for several more turns. The grant can then be refused only to a program that runs turns
     * at several VMs at once.
     */
    boolean hasHeadroom() {
        if (program.isEmpty()) {
            return true;
        }
        if (gateway.store().isFailing()) {
            // Without a grant, the run would be lost and its outcome unknown to the caller.
            return false;
        }
        long budget = admitted.request().tokenBudget().orElse(Long.MAX_VALUE);
        if (gateway.budgets().isKnown(program.get())) {
            return gateway.budgets().hasHeadroom(program.get(), budget, admitted.maximumTokens());
        }
        return admitted.beginsProgram() && budget >= admitted.maximumTokens();
    }

    /** Requests the tokens; the listener receives the verdict unless the grant is closed before. */
    void request(Consumer<BudgetManager.Verdict> listener) {
        if (program.isEmpty()) {
            granted = true;
            listener.accept(new BudgetManager.Verdict.Granted());
            return;
        }
        gateway.budgets()
                .reserve(
                        program.get(),
                        admitted.request().tokenBudget().getAsLong(),
                        admitted.maximumTokens(),
                        admitted.recordsNeededMillis(gateway.clock().now()),
                        admitted.outageWaitUntilMillis(),
                        verdict -> onVerdict(verdict, listener));
    }

    private void onVerdict(BudgetManager.Verdict verdict, Consumer<BudgetManager.Verdict> listener) {
        reserved = verdict instanceof BudgetManager.Verdict.Granted;
        granted = reserved;
        if (closed) {
            release(0);
            return;
        }
        listener.accept(verdict);
    }

    /** Ends the turn and returns the tokens that its events did not use. */
    void close(long events) {
        closed = true;
        release(events);
    }

    private void release(long events) {
        if (!reserved) {
            return;
        }
        reserved = false;
        long deliveredTokens = Math.min(admitted.maximumTokens(), events * admitted.tokensPerEvent());
        program.ifPresent(name -> gateway.budgets().release(name, admitted.maximumTokens(), deliveredTokens));
    }
}
