package org.quetzalshunt.core.route;

import java.util.Set;

/**
 * What a client account may do.
 *
 * @param name its name
 * @param priority goes before the route's priority; 0 is the most urgent, negative when the account has none
 * @param ratePerSecond requests a second over the whole fleet; 0 for no limit
 * @param burst requests that may come at once after a rest, over the whole fleet
 * @param allowedRegions regions in which its requests may run; empty for any
 */
public record AccountTerms(String name, int priority, double ratePerSecond, double burst, Set<String> allowedRegions) {
    /** Whether requests are counted against a rate. */
    public boolean limited() {
        return ratePerSecond > 0;
    }
}
