package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import org.quetzalshunt.core.endpoint.EndpointTable;
import org.quetzalshunt.server.http.HttpClient;

/** What the parts of one gateway share. All of it is used on one event loop. */
record Gateway(
        GatewaySettings settings,
        EventExecutor executor,
        NodeClock clock,
        DecisionLog log,
        GatewayMeasures measures,
        Dialect dialect,
        HttpClient http,
        EndpointTable endpoints,
        ConfigurationFollower configuration,
        RegistrationFollower registrations,
        RateKeeper rates,
        TurnHistory history,
        BudgetKeeper budgets,
        CachedPrompts cachedPrompts) {}
