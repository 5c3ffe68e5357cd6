package org.quetzalshunt.server.gateway;

import java.util.Optional;
import org.quetzalshunt.core.route.AccountTerms;
import org.quetzalshunt.core.route.EngineShape;
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
 */
record Accepted(
        HttpExchange exchange,
        CallerRequest request,
        Route route,
        ServiceEntry service,
        Optional<AccountTerms> account,
        long configurationVersion,
        long arrivedMillis,
        long deadlineMillis) {

    /** 0 is the most urgent: the account's rank goes before the route's. */
    int priority() {
        return account.map(AccountTerms::priority).filter(rank -> rank >= 0).orElse(route.priority());
    }

    String accountName() {
        return account.map(AccountTerms::name).orElse("");
    }

    int tokensPerEvent() {
        return service.engine().map(EngineShape::tokensPerEvent).orElse(1);
    }
}
