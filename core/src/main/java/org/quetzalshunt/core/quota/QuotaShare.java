package org.quetzalshunt.core.quota;

/**
 * A VM's share of one account's rate and burst, as recorded in the store.
 *
 * @param term lease under which it was acquired
 * @param sequence number of this record among those that the VM's process wrote, so that no two records are equal
 * @param parts size of the share, out of {@link QuotaLeases#ALL_PARTS}
 */
public record QuotaShare(LeaseTerm term, long sequence, int parts) {}
