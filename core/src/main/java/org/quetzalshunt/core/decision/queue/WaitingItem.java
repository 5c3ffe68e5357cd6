package org.quetzalshunt.core.decision.queue;

import org.quetzalshunt.core.decision.WorkItem;

/**
 * A queued request. A removed request stays in the heap of its account until it reaches the head, where it is skipped.
 */
public final class WaitingItem {
    private final WorkItem item;
    private final long expectedWork;
    private final boolean programInProgress;
    private long key;
    private boolean removed;

    private WaitingItem(WorkItem item, long expectedWork, boolean programInProgress, long key) {
        this.item = item;
        this.expectedWork = expectedWork;
        this.programInProgress = programInProgress;
        this.key = key;
    }

    static WaitingItem of(WorkItem item, long expectedWork, boolean programInProgress, long key) {
        return new WaitingItem(item, expectedWork, programInProgress, key);
    }

    /** The request. */
    public WorkItem item() {
        return item;
    }

    /** Expected work in the units of {@link WorkCost}, which counts towards the queued work of its account. */
    public long expectedWork() {
        return expectedWork;
    }

    /**
     * Whether the policy counted the request's program as in progress when the request was queued. The work done so far
     * for such a program would be lost if the request failed.
     */
    public boolean isProgramInProgress() {
        return programInProgress;
    }

    /** Whether the request was removed from the queue. */
    public boolean isRemoved() {
        return removed;
    }

    long key() {
        return key;
    }

    void setKey(long newKey) {
        key = newKey;
    }

    void markRemoved() {
        removed = true;
    }
}
