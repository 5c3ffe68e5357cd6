package org.quetzalshunt.core.quota;

/**
 * A VM's part of one account's rate and burst.
 *
 * @param parts of {@link QuotaLeases#ALL_PARTS}
 */
public record QuotaShare(int parts) {
    /** Nothing held. */
    public static final QuotaShare NONE = new QuotaShare(0);
}
