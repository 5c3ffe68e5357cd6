/**
 * Programs and calls of one shard: their order, history, budget and results, as a fold over the shard's stream and a
 * live part at the shard's owner. {@link org.quetzalshunt.core.program.Shard} is the facade.
 *
 * <p>Every record names the epoch in which it was written. A record of another epoch than the one in force at its
 * place in the stream is void, so a paused former owner can append what it likes and change nothing.
 */
package org.quetzalshunt.core.program;
