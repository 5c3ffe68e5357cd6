package org.quetzalshunt.core.route;

import java.util.Map;
import java.util.Optional;

/**
 * Immutable snapshot of one version of the configuration. It is replaced as a whole, so that a request never sees parts
 * of two versions.
 *
 * @param version monotonically increasing version number
 * @param services services by name
 * @param accountsByKey client accounts by API key; never logged
 * @param accounts client accounts by name
 * @param limits limits on callers
 */
public record TrafficConfiguration(
        long version,
        RouteTable routes,
        Map<String, ServiceConfiguration> services,
        Map<String, AccountConfiguration> accountsByKey,
        Map<String, AccountConfiguration> accounts,
        CallerLimits limits) {

    /** Whether a key is required on all routes that are not open: true if any account is configured. */
    public boolean keysRequired() {
        return !accounts.isEmpty();
    }

    /** Finds the client account of a key. */
    public Optional<AccountConfiguration> accountOf(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /** Omits the accounts, so that keys cannot appear in logs or dumps. */
    @Override
    public String toString() {
        return "TrafficConfiguration[version=" + version + ", routes=" + routes.size() + ", accounts=" + accounts.size()
                + "]";
    }
}
