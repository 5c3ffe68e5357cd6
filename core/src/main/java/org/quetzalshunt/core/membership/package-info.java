/**
 * Tracks which VMs are in the fleet, from the platform's VM list, which lags, from heartbeats that VMs forward to each
 * other, and from a VM's own announcement that it is leaving, which takes precedence. The VMs do not agree on a common
 * view: two VMs may see different members for seconds. Decisions that must be exact (limits, ownership of a shard) are
 * made by records of the log instead.
 */
package org.quetzalshunt.core.membership;
