package org.quetzalshunt.core.decision;

import org.quetzalshunt.core.result.Refusal;

/**
 * A request that was removed from the queue without being sent to an endpoint, so that its refusal can state "not run".
 *
 * @param item the request
 * @param refusal the refusal that its caller receives
 */
public record ExpiredRequest(WorkItem item, Refusal refusal) {}
