package org.quetzalshunt.server.gateway;

import java.util.Optional;
import java.util.function.Consumer;

/** The tokens that one turn may hand out: asked for once, and what was not handed out given back at its end. */
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

    /** Whether the turn's events may pass. */
    boolean granted() {
        return granted;
    }

    /**
     * Whether the turn may be sent before it is granted: it begins its program, of which this VM knows nothing yet and whose
     * whole budget covers the turn, or by what this VM knows more turns fit. Only a program that loops over several VMs can
     * then still be refused.
     */
    boolean hasHeadroom() {
        if (program.isEmpty()) {
            return true;
        }
        if (gateway.map().failing()) {
            // The grant may not come, and then the run would be lost and its outcome unknown to the caller.
            return false;
        }
        long budget = admitted.request().tokenBudget().orElse(Long.MAX_VALUE);
        if (gateway.budgets().isKnown(program.get())) {
            return gateway.budgets().hasHeadroom(program.get(), budget, admitted.maximumTokens());
        }
        return admitted.beginsProgram() && budget >= admitted.maximumTokens();
    }

    /** Asks for the tokens; the listener receives the verdict unless the grant was closed meanwhile. */
    void ask(Consumer<BudgetManager.Verdict> listener) {
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
                        admitted.recordRetentionMillis(),
                        admitted.outageWaitUntilMillis(),
                        verdict -> decided(verdict, listener));
    }

    private void decided(BudgetManager.Verdict verdict, Consumer<BudgetManager.Verdict> listener) {
        reserved = verdict instanceof BudgetManager.Verdict.Granted;
        granted = reserved;
        if (closed) {
            release(0);
            return;
        }
        listener.accept(verdict);
    }

    /** The turn is over. */
    void close(long events) {
        closed = true;
        release(events);
    }

    private void release(long events) {
        if (!reserved) {
            return;
        }
        reserved = false;
        long handedOut = Math.min(admitted.maximumTokens(), events * admitted.tokensPerEvent());
        program.ifPresent(name -> gateway.budgets().release(name, admitted.maximumTokens(), handedOut));
    }
}
