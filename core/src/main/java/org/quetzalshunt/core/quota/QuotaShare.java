package org.quetzalshunt.core.quota;

/**
 * A VM's share of one account's rate and burst, as recorded in the store.
 *
 * @param term lease under which it was acquired
 * @param sequence counts the shares that the VM's process recorded, so that no two records of it are equal
 * @param parts of {@link QuotaLeases#ALL_PARTS}
 */
public record QuotaShare(LeaseTerm term, long sequence, int parts) {}
