package org.quetzalshunt.core.dispatch;

import org.quetzalshunt.core.routing.ServiceUse;

/** The slots of services as this VM sees them. */
public interface SlotView {
    /** Slots and requests in flight of a service. */
    ServiceUse use(long nowMillis, String service);

    /** Number of VMs believed to be live, including this one. */
    int liveVms();
}
