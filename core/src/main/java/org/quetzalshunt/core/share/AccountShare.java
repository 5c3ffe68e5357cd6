package org.quetzalshunt.core.share;

/**
 * A VM's part of one account's rate and burst.
 *
 * @param parts of {@link ShareLedger#ALL_PARTS}
 * @param demand requests a second that the VM saw lately
 */
public record AccountShare(int parts, double demand) {
    /** Nothing held, nothing asked. */
    public static final AccountShare NONE = new AccountShare(0, 0);
}
