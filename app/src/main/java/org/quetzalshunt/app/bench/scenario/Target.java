package org.quetzalshunt.app.bench.scenario;

/**
 * A performance target and the value measured against it.
 *
 * @param name description of the compared quantity
 * @param measured value measured in this run
 * @param bound upper or lower bound of the target
 * @param atMost whether the bound is an upper bound
 */
public record Target(String name, double measured, double bound, boolean atMost) {
    static Target atMost(String name, double measured, double bound) {
        return new Target(name, measured, bound, true);
    }

    static Target atLeast(String name, double measured, double bound) {
        return new Target(name, measured, bound, false);
    }

    /** Whether the measured value meets the bound. */
    public boolean isReached() {
        return atMost ? measured <= bound : measured >= bound;
    }
}
