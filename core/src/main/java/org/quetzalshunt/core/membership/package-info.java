/**
 * Which VMs are there: the platform's lagging list, heartbeats that are passed on from VM to VM, and a leaving VM's own
 * word, which comes first. Nothing here is agreed between VMs: two VMs may hold different views for seconds, and
 * whatever must be exact (limits, ownership of a shard) is decided by records of the log instead.
 */
package org.quetzalshunt.core.membership;
