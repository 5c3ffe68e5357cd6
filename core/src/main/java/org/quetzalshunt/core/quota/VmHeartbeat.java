package org.quetzalshunt.core.quota;

/**
 * A record in the store by which a VM shows that it is alive.
 *
 * @param incarnation start of the VM's process, in Unix milliseconds
 * @param epoch number of the process's lease; a lease that expired is followed by one of the next epoch
 * @param sequence number of the heartbeat among those of the process
 * @param linkAddress address that peers connect to, as IP address, colon, port
 * @param stopping whether the process has released its lease in a graceful shutdown
 */
public record VmHeartbeat(long incarnation, long epoch, long sequence, String linkAddress, boolean stopping) {}
