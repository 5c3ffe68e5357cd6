package org.quetzalshunt.core.share;

/**
 * Use and share of one account.
 *
 * @param slots slots in use over all VMs
 * @param share slots that it may use while the service is short; infinite if it is not restricted
 * @param isAboveShare whether the account is treated as above its share while the service is short
 */
public record AccountStatus(String account, double slots, double share, boolean isAboveShare) {
    /** The status of an account that uses no slot. */
    static AccountStatus unused(String account) {
        return new AccountStatus(account, 0, Double.POSITIVE_INFINITY, false);
    }
}
