package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.ThreadLocalRandom;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.quota.OutageWaitPolicy;
import org.quetzalshunt.core.routing.EndpointTable;
import org.quetzalshunt.server.http.HttpClient;

/** What the parts of one gateway share. All of it is used on one event loop. */
record Gateway(
        GatewaySettings settings,
        EventExecutor executor,
        NodeClock clock,
        DecisionLog log,
        GatewayMetrics measures,
        Dialect dialect,
        HttpClient http,
        EndpointTable endpoints,
        ConfigurationFollower configuration,
        Evacuations evacuations,
        RegistrationFollower registrations,
        QuotaManager quotas,
        TurnHistory history,
        BudgetManager budgets,
        StoreClient map,
        PeerConnections links,
        ChainExchange chains,
        CrashReporter crashes,
        RecoveryQueue recovery) {
    /** For callers whom this VM cannot serve but another can: at once, since a retry reaches another VM. */
    private static final long ELSEWHERE_MILLIS = 100;

    /** The same for all callers alike, whatever time they have. */
    private static final long NOWHERE_MILLIS = 900;

    private static final int LARGEST_PART_OF_LEFT = 3;

    /** When a caller should come back whom another VM may serve at once, in milliseconds. */
    long retryAfterMillis(long leftMillis) {
        return links.anyPeerReachesStore() && !map.unavailable()
                ? ELSEWHERE_MILLIS
                : outageRetryAfterMillis(leftMillis);
    }

    /**
     * When a caller should come back whose request failed for the shared map, in milliseconds. Where all VMs of the data
     * centre have lost it, that is as in an outage for all: until the balancer has noticed and chooses another data centre,
     * the next tries come to the same VMs.
     */
    long outageRetryAfterMillis(long leftMillis) {
        if (isolatedFromStore() && links.anyLocalPeerReachesStore()) {
            return ELSEWHERE_MILLIS;
        }
        long wanted = settings.policy().has(Mechanism.OUTAGE_RETRY_DELAY)
                ? OutageWaitPolicy.retryAfterMillis(
                        leftMillis, ThreadLocalRandom.current().nextDouble())
                : Math.min(NOWHERE_MILLIS, leftMillis / LARGEST_PART_OF_LEFT);
        return Math.max(ELSEWHERE_MILLIS, wanted);
    }

    /**
     * Whether the store is unavailable to this VM but not to some peer, which callers should retry at. Guards against a
     * partial outage in which this VM rejects every turn and stays in the balancer's rotation until its keys expire. A
     * peer counts only if it reached the store after this VM had lost it, since an outage for all begins everywhere at once.
     */
    boolean isolatedFromStore() {
        return map.unavailable() && links.anyPeerReachedStoreSince(map.unavailableSinceMillis());
    }
}
