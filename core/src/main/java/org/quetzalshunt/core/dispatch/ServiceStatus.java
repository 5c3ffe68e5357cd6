package org.quetzalshunt.core.dispatch;

import java.util.Map;

/**
 * State of the queue of a service, for operators.
 *
 * @param slots slots of healthy endpoints that this VM counts on
 * @param freeSlots slots free for first turns after the room that running programs need; negative if overcommitted
 * @param shortOfSlots whether first turns are sent only as slots become free
 * @param waitingByUrgency first turns that wait at this VM, by urgency
 * @param oldestMillisByUrgency age of the oldest of these, by urgency
 * @param peersWaiting first turns that wait at peers, as last reported
 */
public record ServiceStatus(
        String service,
        int slots,
        double freeSlots,
        boolean shortOfSlots,
        Map<Integer, Integer> waitingByUrgency,
        Map<Integer, Long> oldestMillisByUrgency,
        long peersWaiting) {}
