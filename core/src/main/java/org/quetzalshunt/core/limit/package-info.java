/**
 * Rate and burst of every client account over the whole fleet, by escrow: each entry holds a part of an account's token
 * bucket, parts move from entry to entry in messages that can lose but never double them, and a record of the
 * configuration stream reclaims the part of a dead VM once that VM must have stopped using it.
 *
 * <p>The promise: in every window of t seconds, the requests taken at all entries together are at most rate × t + burst.
 * The design note docs/design/fleet-limits.md has the argument. All code here is driven by messages and a monotonic
 * clock in milliseconds that its caller hands in; nothing here trusts that the clocks of two VMs agree.
 */
package org.quetzalshunt.core.limit;
