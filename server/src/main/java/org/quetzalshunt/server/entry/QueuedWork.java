package org.quetzalshunt.server.entry;

import org.quetzalshunt.core.decision.Dispatch;
import org.quetzalshunt.core.decision.WorkItem;
import org.quetzalshunt.core.result.Refusal;

/** A turn or call that is queued for an endpoint. */
interface QueuedWork {
    WorkItem item();

    /** The scheduler has selected an endpoint; starts the attempt there. */
    void onDispatched(Dispatch dispatch);

    /**
     * The work was removed from the queue, because its deadline has passed or cannot be met. It has not been dispatched
     * since it was queued.
     */
    void onExpired(Refusal refusal);
}
