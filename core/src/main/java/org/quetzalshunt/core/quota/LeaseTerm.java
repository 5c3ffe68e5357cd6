package org.quetzalshunt.core.quota;

/**
 * One uninterrupted lease of a VM. Shares that were acquired under an earlier term are void.
 *
 * @param incarnation start of the VM's process, in Unix milliseconds
 * @param epoch number of the lease among those of the process
 */
public record LeaseTerm(long incarnation, long epoch) {}
