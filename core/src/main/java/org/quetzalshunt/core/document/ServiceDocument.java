package org.quetzalshunt.core.document;

import java.util.List;
import java.util.Optional;

/**
 * A team's declaration of one service. Immutable.
 *
 * @param name name of the service, used as the model name in chat completion requests
 * @param team team that may change the document
 * @param kind kind of the service's endpoints
 * @param accounts client accounts that may call it
 * @param nonIdempotentCalls calls of a plain service that must run at most once
 * @param limits deadlines, queue lengths and budgets
 * @param models models that the engines should have loaded, with versions
 * @param engineChecksFencing whether the engines reject model load and unload orders with an outdated fencing token
 */
public record ServiceDocument(
        String name,
        String team,
        ServiceKind kind,
        List<ClientAccount> accounts,
        List<CallRule> nonIdempotentCalls,
        ServiceLimits limits,
        List<String> models,
        boolean engineChecksFencing) {

    /** Finds a client account by name. */
    public Optional<ClientAccount> account(String accountName) {
        return accounts.stream()
                .filter(account -> account.name().equals(accountName))
                .findFirst();
    }

    /** Whether a call must run at most once. */
    public boolean isNonIdempotent(String method, String path) {
        return nonIdempotentCalls.stream().anyMatch(rule -> rule.matches(method, path));
    }
}
