/**
 * The entry: accepts callers' HTTP requests, checks keys and rate limits, owns shards of programs, schedules requests
 * to endpoints, and makes sure that a truncated response is never mistaken for a complete one. All of it runs on one
 * event loop, so there are no locks.
 *
 * <p>Path of a request: {@link org.quetzalshunt.server.entry.CallerApi} (key, rate limit) → {@link
 * org.quetzalshunt.server.entry.OwnerRouter} (routing to the owner of the shard) → {@link
 * org.quetzalshunt.server.entry.OwnerService} (order, history, budget, at-most-once execution) → {@link
 * org.quetzalshunt.server.entry.WorkDispatcher} (scheduling) → {@link org.quetzalshunt.server.entry.AttemptTracker}
 * (attempt at the sidecar).
 */
package org.quetzalshunt.server.entry;
