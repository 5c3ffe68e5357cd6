package org.quetzalshunt.app.bench.scenario;

/**
 * Load that one client account offers in a scenario.
 *
 * @param name account name
 * @param weight weight of its fair share under contention
 * @param loadFraction fraction of the scenario's load that the account offers at its agreed rate
 * @param rateFactor multiple of the agreed rate that the account actually sends; above one, it exceeds its rate
 */
public record AccountLoad(String name, double weight, double loadFraction, double rateFactor) {
    /** Whether the account stays within its agreed rate, so that refusing its requests would be a scheduling fault. */
    boolean isWithinRate() {
        return rateFactor <= 1;
    }
}
