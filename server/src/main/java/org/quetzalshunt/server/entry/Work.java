package org.quetzalshunt.server.entry;

import org.quetzalshunt.core.decision.Dispatch;
import org.quetzalshunt.core.decision.WorkItem;
import org.quetzalshunt.core.result.Refusal;

/** Something that waits for an endpoint. */
interface Work {
    WorkItem item();

    /** Run it now at the endpoint named. */
    void dispatched(Dispatch dispatch);

    /** It will not run; it certainly did not. */
    void expired(Refusal refusal);
}
