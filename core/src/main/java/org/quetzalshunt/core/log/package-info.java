/**
 * Client of the platform's log service. One {@link org.quetzalshunt.core.log.StreamSession} per stream reads the stream
 * and applies its records to a {@link org.quetzalshunt.core.log.LogFold}, appends records in batches and resolves
 * appends whose answer was lost.
 *
 * <p>The log guarantees only a total order of each stream. Answers can be lost after the append took effect, a delayed
 * append can take effect after its own retry, and old records are deleted. A session applies every record exactly once
 * in log order: each batch carries its writer's id and sequence number, and readers skip duplicates.
 */
package org.quetzalshunt.core.log;
