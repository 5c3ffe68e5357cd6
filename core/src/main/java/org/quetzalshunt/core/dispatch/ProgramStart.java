package org.quetzalshunt.core.dispatch;

import java.util.OptionalLong;

/**
 * The first turn of a program that asks for a slot.
 *
 * @param id number that identifies it at this VM
 * @param service service that it is for
 * @param route route that it came by; forecasts are learnt by route
 * @param account client account; empty for none
 * @param urgency priority of its account and route; 0 is the most urgent
 * @param arrivedMillis when it arrived
 * @param deadlineMillis when its response is due
 * @param targetLatencyMillis latency objective of its route
 * @param programLeftMillis time from its arrival until its program should be finished, as its caller states it
 * @param lengthHint caller's estimate of the tokens that it will generate
 */
public record ProgramStart(
        long id,
        String service,
        String route,
        String account,
        int urgency,
        long arrivedMillis,
        long deadlineMillis,
        long targetLatencyMillis,
        OptionalLong programLeftMillis,
        OptionalLong lengthHint) {}
