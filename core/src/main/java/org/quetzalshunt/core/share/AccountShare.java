package org.quetzalshunt.core.share;

/**
 * A VM's part of one account's rate and burst.
 *
 * @param parts of {@link ShareLedger#ALL_PARTS}
 */
public record AccountShare(int parts) {
    /** Nothing held. */
    public static final AccountShare NONE = new AccountShare(0);
}
