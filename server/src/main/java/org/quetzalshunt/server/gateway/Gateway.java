package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.ThreadLocalRandom;
import org.quetzalshunt.core.memory.ResponseBudget;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.quota.OutageWaitPolicy;
import org.quetzalshunt.core.routing.EndpointTable;
import org.quetzalshunt.core.stop.PlannedStop;
import org.quetzalshunt.server.http.HttpClient;

/** The components of one gateway, all of which run on one event loop. */
record Gateway(
        GatewaySettings settings,
        EventExecutor executor,
        NodeClock clock,
        DecisionLog log,
        GatewayMetrics metrics,
        Dialect dialect,
        HttpClient http,
        EndpointTable endpoints,
        ConfigurationFollower configuration,
        Evacuations evacuations,
        RegistrationFollower registrations,
        QuotaManager quotas,
        TurnHistory history,
        BudgetManager budgets,
        StoreClient store,
        PeerConnections links,
        ChainExchange chains,
        CrashReporter crashes,
        RecoveryQueue recovery,
        StartDispatch starts,
        AccountShareControl shares,
        GatewayMemory memory,
        ResponseBudget responses,
        PlannedStop stop) {
    /** Retry-After when another VM can serve the request: short, since a retry reaches another VM. */
    private static final long OTHER_VM_RETRY_AFTER_MILLIS = 100;

    /**
     * Retry-After in an outage while {@link Mechanism#OUTAGE_RETRY_DELAY} is off: the same for all callers, but at
     * most a third of their remaining time.
     */
    private static final long BASIC_OUTAGE_RETRY_AFTER_MILLIS = 900;

    private static final int REMAINING_TIME_DIVISOR = 3;

    /**
     * Whether load control is on: the settings request it, or the configuration has streams that may be sent to one
     * endpoint only. Such a stream cannot be retried elsewhere if its endpoint is full, so the gateway must decide when
     * and where to send it.
     */
    boolean isLoadControlled() {
        return settings.loadControlRequested()
                || configuration
                        .current()
                        .filter(current -> current.routes().hasSingleAttemptStreams())
                        .isPresent();
    }

    /** Whether a mechanism is enabled and has an effect in this deployment. */
    boolean isEnabled(Mechanism mechanism) {
        return settings.policy().isEnabled(mechanism) && (!mechanism.isPartOfLoadControl() || isLoadControlled());
    }

    /** Retry-After for a request that another VM may be able to serve, in milliseconds. */
    long retryAfterMillis(long remainingMillis) {
        return links.anyPeerReachesStore() && !store.isUnavailable()
                ? OTHER_VM_RETRY_AFTER_MILLIS
                : outageRetryAfterMillis(remainingMillis);
    }

    /**
     * Retry-After for a request that failed because of the store, in milliseconds. If no VM of this data centre
     * reaches the store, the delay for a full outage applies even if other data centres reach it: until the balancer
     * detects the outage and selects another data centre, retries arrive at the same VMs.
     */
    long outageRetryAfterMillis(long remainingMillis) {
        if (isolatedFromStore() && links.anyLocalPeerReachesStore()) {
            return OTHER_VM_RETRY_AFTER_MILLIS;
        }
        long outageDelayMillis = settings.policy().isEnabled(Mechanism.OUTAGE_RETRY_DELAY)
                ? OutageWaitPolicy.retryAfterMillis(
                        remainingMillis, ThreadLocalRandom.current().nextDouble())
                : Math.min(BASIC_OUTAGE_RETRY_AFTER_MILLIS, remainingMillis / REMAINING_TIME_DIVISOR);
        return Math.max(OTHER_VM_RETRY_AFTER_MILLIS, outageDelayMillis);
    }

    /**
     * Whether this VM has lost the store while some peer still reaches it, so that callers should retry at another VM.
     * Guards against a partial outage in which this VM rejects every turn and stays in the balancer's rotation until
     * its keys expire. Only a peer that reached the store after this VM lost it counts, since a full outage begins at
     * all VMs at the same time.
     */
    boolean isolatedFromStore() {
        return store.isUnavailable() && links.anyPeerReachedStoreSince(store.unavailableSinceMillis());
    }
}
