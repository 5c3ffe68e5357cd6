/**
 * The entry: takes callers' HTTP, checks keys and limits, owns shards of programs, decides what runs where, and keeps
 * answers whole. Everything runs on one event loop, so there are no locks.
 *
 * <p>The way of a request: {@link org.quetzalshunt.server.entry.CallerApi} (key, rate) → {@link
 * org.quetzalshunt.server.entry.OwnerRouter} (to the owner of its shard) → {@link
 * org.quetzalshunt.server.entry.OwnerService} (order, history, budget, at most once) → {@link
 * org.quetzalshunt.server.entry.WorkBoard} (when and where) → {@link org.quetzalshunt.server.entry.AttemptBoard} (to
 * the sidecar and back).
 */
package org.quetzalshunt.server.entry;
