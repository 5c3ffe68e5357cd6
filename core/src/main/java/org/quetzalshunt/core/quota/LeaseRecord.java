package org.quetzalshunt.core.quota;

import java.util.Map;

/**
 * What a VM keeps in the shared map about its parts.
 *
 * @param incarnation life of the VM's process
 * @param sequence counts the records of that life
 * @param shares parts by account
 * @param linkAddress where other VMs reach it, as IP number, colon, port
 */
public record LeaseRecord(long incarnation, long sequence, Map<String, QuotaShare> shares, String linkAddress) {}
