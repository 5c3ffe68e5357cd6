package org.quetzalshunt.core.quota;

/**
 * A VM's announcement in the store that it is alive.
 *
 * @param incarnation start of the VM's process, in Unix milliseconds
 * @param epoch counts the leases of that process; a lease that lapsed is followed by one of the next epoch
 * @param sequence counts the heartbeats of that process
 * @param linkAddress where peers connect to, as IP number, colon, port
 * @param stopping whether the process has given up its lease in a graceful shutdown
 */
public record VmHeartbeat(long incarnation, long epoch, long sequence, String linkAddress, boolean stopping) {}
