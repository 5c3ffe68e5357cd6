/**
 * Folding the platform's log: one {@link org.quetzalshunt.core.log.StreamSession} a stream keeps the fold position,
 * commits records in groups and resolves appends whose answer was lost.
 *
 * <p>The log gives each stream one total order and nothing else: answers can be lost after the append took effect, a
 * delayed append can take effect later than its repetition, and old records are dropped. A session turns that into
 * "every record is applied once, in the order of the log": a batch carries its writer and that writer's sequence
 * number, and a reader skips what it has seen.
 */
package org.quetzalshunt.core.log;
