package org.quetzalshunt.server.gateway;

import org.quetzalshunt.core.routing.SlotUse;

/** Whether a service is short of slots, by the requests in flight that this VM and its peers know of. */
final class ShortageRule {
    /**
     * The part of the slots in use from which a service is short. Requests are not spread evenly, so that some
     * endpoints are full before all are.
     */
    private static final double SHORT_PART = 0.9;

    private ShortageRule() {}

    static boolean isShort(SlotUse use) {
        return use.slots() > 0 && use.inFlight() >= SHORT_PART * use.slots();
    }
}
