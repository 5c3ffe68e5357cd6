package org.quetzalshunt.core.route;

import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration, swapped as a whole so that a request never sees two versions.
 *
 * @param version number that only grows
 * @param routes routes
 * @param services services by name
 * @param accountsByKey client accounts by each of their keys; never logged
 * @param accounts client accounts by name
 * @param limits bounds on callers
 */
public record TrafficConfiguration(
        long version,
        RouteTable routes,
        Map<String, ServiceEntry> services,
        Map<String, AccountTerms> accountsByKey,
        Map<String, AccountTerms> accounts,
        CallerLimits limits) {

    /** Whether routes that are not open need a key. */
    public boolean keysRequired() {
        return !accounts.isEmpty();
    }

    /** The client account of a key. */
    public Optional<AccountTerms> accountOf(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /** Keys are left out, so that no log line or dump can hold one. */
    @Override
    public String toString() {
        return "TrafficConfiguration[version=" + version + ", routes=" + routes.size() + ", accounts=" + accounts.size()
                + "]";
    }
}
