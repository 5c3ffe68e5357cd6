package org.quetzalshunt.server.gateway;

import java.util.Optional;

/** Conditions of admission that can change while a request waits. */
final class AdmissionChecks {
    private AdmissionChecks() {}

    /** Whether the configuration was confirmed recently enough to accept its API keys. */
    static boolean isCurrent(Gateway gateway) {
        return gateway.configuration().ageMillis() < gateway.settings().maximumKeyAgeMillis();
    }

    /** Whether a condition under which a request passed the checks may no longer hold. */
    static boolean isOutdated(Gateway gateway, AdmittedRequest admitted) {
        boolean sameConfiguration = gateway.configuration()
                .current()
                .filter(current -> current.version() == admitted.configurationVersion())
                .isPresent();
        return !sameConfiguration
                || !isCurrent(gateway)
                || needsUnavailableStore(gateway, admitted)
                || exhaustedBudget(gateway, admitted).isPresent();
    }

    /** Whether a request needs the store, which is unavailable, to run. */
    static boolean needsUnavailableStore(Gateway gateway, AdmittedRequest admitted) {
        if (!gateway.store().isUnavailable()) {
            return false;
        }
        return admitted.keepsHistory()
                || admitted.budgetedProgram()
                        .filter(program -> !gateway.budgets()
                                .canGrantLocally(
                                        program,
                                        admitted.maximumTokens(),
                                        admitted.recordsNeededMillis(
                                                gateway.clock().now())))
                        .isPresent();
    }

    /** The verdict on a budget that is known to be exhausted. */
    static Optional<BudgetManager.Verdict.Exhausted> exhaustedBudget(Gateway gateway, AdmittedRequest admitted) {
        Optional<BudgetManager.Verdict.Exhausted> exhausted = admitted.budgetedProgram()
                .flatMap(program -> gateway.budgets()
                        .knownExhausted(
                                program, admitted.request().tokenBudget().getAsLong(), admitted.maximumTokens()));
        if (exhausted.isPresent()) {
            gateway.budgets()
                    .keepRecords(
                            admitted.budgetedProgram().orElseThrow(),
                            admitted.recordsNeededMillis(gateway.clock().now()));
        }
        return exhausted;
    }
}
