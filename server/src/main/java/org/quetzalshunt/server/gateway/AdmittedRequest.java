package org.quetzalshunt.server.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.quetzalshunt.core.quota.OutageWaitPolicy;
import org.quetzalshunt.core.route.AccountConfiguration;
import org.quetzalshunt.core.route.EngineCapacity;
import org.quetzalshunt.core.route.RequestKind;
import org.quetzalshunt.core.route.Route;
import org.quetzalshunt.core.route.ServiceConfiguration;
import org.quetzalshunt.server.http.HttpExchange;

/**
 * A request that passed admission, with the terms under which it runs.
 *
 * @param exchange HTTP exchange with the caller
 * @param request the decoded request
 * @param route route that matched its host and path
 * @param service service that the route selected
 * @param account client account that its API key belongs to; empty on a keyless route
 * @param configurationVersion configuration version that it was checked against
 * @param arrivedMillis when it was fully received, on this VM's clock
 * @param deadlineMillis when its final response is due: the earlier of the caller's and the route's timeout
 * @param timeline times of its processing steps, for its log line
 * @param promptMayBeCached whether some endpoint may have its prompt cached, which means that an earlier turn of the
 *     same conversation may have run
 */
record AdmittedRequest(
        HttpExchange exchange,
        CallerRequest request,
        Route route,
        ServiceConfiguration service,
        Optional<AccountConfiguration> account,
        long configurationVersion,
        long arrivedMillis,
        long deadlineMillis,
        RequestTimeline timeline,
        boolean promptMayBeCached) {

    /** Added to the retention period, since the clocks of callers and VMs may differ. */
    private static final long RETENTION_MARGIN_MILLIS = 10_000;

    /** Priority levels of accounts and of routes: 0, 1 and 2. */
    private static final int PRIORITY_LEVELS = 3;

    /** Token limit assumed for a turn that states none. */
    private static final long DEFAULT_MAXIMUM_TOKENS = 512;

    /**
     * Priority of the request, 0 being the most urgent: accounts are ordered by their priority, and requests of
     * equally ranked accounts by the priority of their route.
     */
    int urgency() {
        int accountPriority = account.map(AccountConfiguration::priority).orElse(0);
        return PRIORITY_LEVELS * Math.max(0, accountPriority)
                + Math.min(PRIORITY_LEVELS - 1, Math.max(0, route.priority()));
    }

    String accountName() {
        return account.map(AccountConfiguration::name).orElse("");
    }

    int tokensPerEvent() {
        return service.engine().map(EngineCapacity::tokensPerEvent).orElse(1);
    }

    /** Maximum number of tokens that the turn may generate, rounded up to whole events. */
    long maximumTokens() {
        long requested = request.maximumTokens().orElse(DEFAULT_MAXIMUM_TOKENS);
        int perEvent = tokensPerEvent();
        return (requested + perEvent - 1) / perEvent * perEvent;
    }

    /** Name of the program that the request belongs to, prefixed with its account. */
    Optional<String> program() {
        return request.program().map(program -> programPrefix(accountName()) + program);
    }

    /** Prefix of all program names of an account in budgets and in messages to peers. */
    static String programPrefix(String account) {
        return account + ":";
    }

    /**
     * The program whose token budget the request consumes, whether or not its route stores history; empty without a
     * budget.
     */
    Optional<String> budgetedProgram() {
        if (request.tokenBudget().isEmpty()) {
            return Optional.empty();
        }
        return program();
    }

    /**
     * Whether this is the first turn of a program; the first turn of a sub-agent does not count. On routes that store
     * no history, requests name no previous turn, so only the location of the prompt shows that the conversation has
     * begun.
     */
    boolean beginsProgram() {
        return route.kind() == RequestKind.STREAM
                && !promptMayBeCached
                && request.previousTurn().isEmpty()
                && (request.conversation().isEmpty() || request.conversation().equals(request.program()));
    }

    /** Whether the turn needs no stored history of earlier turns. */
    boolean beginsChain() {
        return !route.stateful() || request.previousTurn().isEmpty();
    }

    /** Time until which the request may wait for an outage to end, on this VM's clock. */
    long outageWaitUntilMillis() {
        return arrivedMillis + OutageWaitPolicy.maximumWaitMillis(deadlineMillis - arrivedMillis);
    }

    /**
     * The data centres in which the request may run, by the regions that its route and its account allow; empty when
     * it may run anywhere.
     *
     * @param regions region of each data centre
     */
    Optional<Set<String>> homeDataCentres(Map<String, String> regions) {
        Set<String> accountRegions =
                account.map(AccountConfiguration::allowedRegions).orElse(Set.of());
        if (route.allowedRegions().isEmpty() && accountRegions.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(regions.entrySet().stream()
                .filter(each -> route.allowedRegions().isEmpty()
                        || route.allowedRegions().contains(each.getValue()))
                .filter(each -> accountRegions.isEmpty() || accountRegions.contains(each.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet()));
    }

    /**
     * How long from now the records of the turn and of the tokens of its program must be kept, in milliseconds: for the
     * retention period from the end of its response, which is at its deadline at the latest.
     *
     * @param nowMillis current time on this VM's clock
     */
    long recordsNeededMillis(long nowMillis) {
        return Math.max(0, deadlineMillis - nowMillis) + route.retentionMillis() + RETENTION_MARGIN_MILLIS;
    }

    /** Whether the turn is stored, so that later turns can continue it. */
    boolean keepsHistory() {
        return route.stateful();
    }
}
