package org.quetzalshunt.app.bench.play;

/**
 * Load of one client account.
 *
 * @param name account
 * @param weight share under contention
 * @param part part of the play's load that it sends at its agreed rate
 * @param factor how many times its agreed rate it sends
 */
public record AccountLoad(String name, double weight, double part, double factor) {
    /** Whether it keeps to its agreed rate, so that a refusal would be wrongful. */
    boolean withinRate() {
        return factor <= 1;
    }
}
