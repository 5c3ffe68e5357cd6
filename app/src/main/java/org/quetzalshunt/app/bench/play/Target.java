package org.quetzalshunt.app.bench.play;

/**
 * A figure that the decisions are to reach.
 *
 * @param name what is compared
 * @param measured figure of this run
 * @param bound figure to reach
 * @param atMost whether the bound is an upper one
 */
public record Target(String name, double measured, double bound, boolean atMost) {
    static Target atMost(String name, double measured, double bound) {
        return new Target(name, measured, bound, true);
    }

    static Target atLeast(String name, double measured, double bound) {
        return new Target(name, measured, bound, false);
    }

    /** Whether the figure was reached. */
    public boolean reached() {
        return atMost ? measured <= bound : measured >= bound;
    }
}
