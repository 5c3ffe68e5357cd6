package org.quetzalshunt.core.route;

import java.util.Set;

/**
 * Priority, rate limit and allowed regions of a client account.
 *
 * @param priority takes precedence over the priority of the route; 0 is the most urgent, negative if the account has
 *     none
 * @param ratePerSecond requests per second over the whole fleet; 0 for no limit
 * @param burst requests that may arrive at once after an idle period, over the whole fleet
 * @param allowedRegions regions in which the account's requests may run; empty for any
 */
public record AccountConfiguration(
        String name, int priority, double ratePerSecond, double burst, Set<String> allowedRegions) {
    /** Whether the account has a rate limit. */
    public boolean isRateLimited() {
        return ratePerSecond > 0;
    }
}
