/**
 * Enforces the rate and burst of every client account over the whole fleet, by escrow. Each entry holds a part of an
 * account's token bucket. Parts move between entries in messages that may be lost or duplicated without a part ever
 * being counted twice. A record of the configuration stream reclaims the part of a dead VM once that VM must have
 * stopped using it.
 *
 * <p>Invariant: in every window of t seconds, the requests admitted by all entries together are at most rate × t +
 * burst. The design note docs/design/fleet-limits.md explains why it holds. All code here is driven by messages and
 * by times of a monotonic clock, in milliseconds, that the caller passes in. No code assumes that the clocks of two VMs
 * agree.
 */
package org.quetzalshunt.core.limit;
