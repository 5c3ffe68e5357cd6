package org.quetzalshunt.core.decision;

import org.quetzalshunt.core.decision.endpoint.EndpointEntry;
import org.quetzalshunt.core.decision.queue.WorkCost;

/** Row of a running request, with what its account was charged so far. */
final class RunningItem {
    private final WorkItem item;
    private final EndpointEntry endpoint;
    private final long believedCachedTokens;
    private long chargedTokens;

    private RunningItem(WorkItem item, EndpointEntry endpoint, long believedCachedTokens) {
        this.item = item;
        this.endpoint = endpoint;
        this.believedCachedTokens = believedCachedTokens;
        this.chargedTokens = WorkCost.expected(item, believedCachedTokens);
    }

    static RunningItem of(WorkItem item, EndpointEntry endpoint, long believedCachedTokens) {
        return new RunningItem(item, endpoint, believedCachedTokens);
    }

    WorkItem item() {
        return item;
    }

    EndpointEntry endpoint() {
        return endpoint;
    }

    long believedCachedTokens() {
        return believedCachedTokens;
    }

    long chargedTokens() {
        return chargedTokens;
    }

    /** Moves the charge to a new total and says by how much it changed. */
    long recharge(long totalTokens) {
        long change = totalTokens - chargedTokens;
        chargedTokens = totalTokens;
        return change;
    }
}
