package org.quetzalshunt.core.decision;

import org.quetzalshunt.core.result.Refusal;

/**
 * A request that left the queue unserved. It never reached an endpoint, so its refusal truly says "not run".
 *
 * @param item the request
 * @param refusal what its caller hears
 */
public record Expired(WorkItem item, Refusal refusal) {}
