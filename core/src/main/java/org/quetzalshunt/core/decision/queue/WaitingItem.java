package org.quetzalshunt.core.decision.queue;

import org.quetzalshunt.core.decision.WorkItem;

/** Row of a waiting request. Its position in a heap is stale once it was removed; heaps skip removed rows. */
public final class WaitingItem {
    private final WorkItem item;
    private final long expectedWork;
    private final boolean continuing;
    private long key;
    private boolean removed;

    private WaitingItem(WorkItem item, long expectedWork, boolean continuing, long key) {
        this.item = item;
        this.expectedWork = expectedWork;
        this.continuing = continuing;
        this.key = key;
    }

    static WaitingItem of(WorkItem item, long expectedWork, boolean continuing, long key) {
        return new WaitingItem(item, expectedWork, continuing, key);
    }

    /** The request. */
    public WorkItem item() {
        return item;
    }

    /** Work that its account's queue counts for it. */
    public long expectedWork() {
        return expectedWork;
    }

    /** Whether its program has attained service before, so that work would be lost if it failed now. */
    public boolean continuing() {
        return continuing;
    }

    /** Whether it left the queue. */
    public boolean removed() {
        return removed;
    }

    long key() {
        return key;
    }

    void rekey(long newKey) {
        key = newKey;
    }

    void markRemoved() {
        removed = true;
    }
}
