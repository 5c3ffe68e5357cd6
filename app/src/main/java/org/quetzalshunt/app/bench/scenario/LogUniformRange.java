package org.quetzalshunt.app.bench.scenario;

import java.util.SplittableRandom;

/**
 * Range with a log-uniform distribution, in which each order of magnitude is equally likely.
 *
 * @param low lowest value; at least one
 * @param high highest value
 */
public record LogUniformRange(long low, long high) {
    /** Creates a range from its inclusive bounds. */
    public static LogUniformRange of(long low, long high) {
        return new LogUniformRange(low, high);
    }

    long draw(SplittableRandom random) {
        if (low == high) {
            return low;
        }
        double lowLogarithm = Math.log((double) low);
        double logarithm = lowLogarithm + random.nextDouble() * (Math.log((double) high) - lowLogarithm);
        return Math.round(Math.exp(logarithm));
    }
}
