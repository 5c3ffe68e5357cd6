package org.quetzalshunt.core.decision;

import org.quetzalshunt.core.decision.endpoint.TrackedEndpoint;
import org.quetzalshunt.core.decision.queue.WorkCost;

/** A running request and the work that its account has been charged for it so far. */
final class RunningItem {
    private final WorkItem item;
    private final TrackedEndpoint endpoint;
    private final long expectedCachedTokens;
    private long chargedTokens;

    private RunningItem(WorkItem item, TrackedEndpoint endpoint, long expectedCachedTokens) {
        this.item = item;
        this.endpoint = endpoint;
        this.expectedCachedTokens = expectedCachedTokens;
        this.chargedTokens = WorkCost.expected(item, expectedCachedTokens);
    }

    static RunningItem of(WorkItem item, TrackedEndpoint endpoint, long expectedCachedTokens) {
        return new RunningItem(item, endpoint, expectedCachedTokens);
    }

    WorkItem item() {
        return item;
    }

    TrackedEndpoint endpoint() {
        return endpoint;
    }

    long expectedCachedTokens() {
        return expectedCachedTokens;
    }

    long chargedTokens() {
        return chargedTokens;
    }

    /** Sets the charge to a new total and returns the difference. */
    long adjustCharge(long totalTokens) {
        long change = totalTokens - chargedTokens;
        chargedTokens = totalTokens;
        return change;
    }
}
