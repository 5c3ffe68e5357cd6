package org.quetzalshunt.server.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.quetzalshunt.core.quota.OutageWaitPolicy;
import org.quetzalshunt.core.route.AccountTerms;
import org.quetzalshunt.core.route.EngineShape;
import org.quetzalshunt.core.route.RequestKind;
import org.quetzalshunt.core.route.Route;
import org.quetzalshunt.core.route.ServiceEntry;
import org.quetzalshunt.server.http.HttpExchange;

/**
 * A request that may run.
 *
 * @param exchange the way back to its caller
 * @param request what it says
 * @param route its route
 * @param service service that it goes to
 * @param account whose key came with it; empty on an open route
 * @param configurationVersion version that it was judged by
 * @param arrivedMillis when it had arrived whole
 * @param deadlineMillis when its final answer is due: the caller's time or the route's, whichever is over first
 * @param timeline when the steps of its life ended
 * @param conversationUnderWay whether its line of turns may have run before, by where its prompt lies
 */
record AdmittedRequest(
        HttpExchange exchange,
        CallerRequest request,
        Route route,
        ServiceEntry service,
        Optional<AccountTerms> account,
        long configurationVersion,
        long arrivedMillis,
        long deadlineMillis,
        RequestTimeline timeline,
        boolean conversationUnderWay) {

    /** Kept beyond the retention, since callers' clocks and ours may differ. */
    private static final long RETENTION_MARGIN_MILLIS = 10_000;

    /** Ranks that accounts and routes use: 0, 1 and 2. */
    private static final int RANKS = 3;

    /** Tokens assumed of a turn that does not say how many it may generate. */
    private static final long TOKENS_UNSAID = 512;

    /** 0 is the most urgent: accounts by their rank, and within one account routes by theirs. */
    int urgency() {
        int rank = account.map(AccountTerms::priority).orElse(0);
        return RANKS * Math.max(0, rank) + Math.min(RANKS - 1, Math.max(0, route.priority()));
    }

    String accountName() {
        return account.map(AccountTerms::name).orElse("");
    }

    int tokensPerEvent() {
        return service.engine().map(EngineShape::tokensPerEvent).orElse(1);
    }

    /** Tokens that a turn may generate, in whole events. */
    long maximumTokens() {
        long said = request.maximumTokens().orElse(TOKENS_UNSAID);
        int each = tokensPerEvent();
        return (said + each - 1) / each * each;
    }

    /** The program that the request belongs to, within its account. */
    Optional<String> program() {
        return request.program().map(program -> programPrefix(accountName()) + program);
    }

    /** What the names of an account's programs begin with, as budgets and peers know them. */
    static String programPrefix(String account) {
        return account + ":";
    }

    /** The program whose budget the request spends, whether or not its route keeps history; empty without a budget. */
    Optional<String> budgetedProgram() {
        if (request.tokenBudget().isEmpty()) {
            return Optional.empty();
        }
        return program();
    }

    /**
     * Whether this is the first turn of a program; a sub-agent's first turn is not. Where no history is kept, the turns of a
     * line name none before them, and only their prompt tells.
     */
    boolean beginsProgram() {
        return route.kind() == RequestKind.STREAM
                && !conversationUnderWay
                && request.previousTurn().isEmpty()
                && (request.line().isEmpty() || request.line().equals(request.program()));
    }

    /** Whether the turn goes on from nothing that is kept here. */
    boolean beginsChain() {
        return !route.stateful() || request.previousTurn().isEmpty();
    }

    /** Until when it waits for an outage to end. */
    long outageUntilMillis() {
        return arrivedMillis + OutageWaitPolicy.maximumWaitMillis(deadlineMillis - arrivedMillis);
    }

    /**
     * The data centres in which it may run, by the regions that its route and its account allow; empty for all.
     *
     * @param regions region of each data centre
     */
    Optional<Set<String>> homeDataCentres(Map<String, String> regions) {
        Set<String> ofAccount = account.map(AccountTerms::allowedRegions).orElse(Set.of());
        if (route.allowedRegions().isEmpty() && ofAccount.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(regions.entrySet().stream()
                .filter(each -> route.allowedRegions().isEmpty()
                        || route.allowedRegions().contains(each.getValue()))
                .filter(each -> ofAccount.isEmpty() || ofAccount.contains(each.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet()));
    }

    /** How long the turn, and what it spends, must be remembered after its end, in milliseconds. */
    long keepMillis() {
        return route.retentionMillis() + RETENTION_MARGIN_MILLIS;
    }

    /** Whether the turn is kept, for turns that go on from it. */
    boolean keepsHistory() {
        return route.stateful();
    }
}
