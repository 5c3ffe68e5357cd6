package org.quetzalshunt.app.bench.play;

import java.util.SplittableRandom;

/**
 * Values between two bounds, drawn uniformly in their logarithm, so that the small ones are as common as the large.
 *
 * @param low lowest value, at least one
 * @param high highest value
 */
public record Range(long low, long high) {
    /** Between two bounds. */
    public static Range of(long low, long high) {
        return new Range(low, high);
    }

    long draw(SplittableRandom random) {
        if (low == high) {
            return low;
        }
        double least = Math.log((double) low);
        double logarithm = least + random.nextDouble() * (Math.log((double) high) - least);
        return Math.round(Math.exp(logarithm));
    }
}
