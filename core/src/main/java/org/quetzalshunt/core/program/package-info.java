/**
 * Programs and calls of one shard. The order of turns, the histories, budgets and results are a replicated state
 * machine that every reader builds by applying the records of the shard's stream in order. Queued and running requests
 * are kept in memory by the shard's owner. {@link org.quetzalshunt.core.program.Shard} is the facade.
 *
 * <p>Every record carries the epoch in which it was written. A record whose epoch is not the current one at its
 * position in the stream is void: readers skip it. Records that a paused former owner appends after a takeover thus
 * have no effect.
 */
package org.quetzalshunt.core.program;
