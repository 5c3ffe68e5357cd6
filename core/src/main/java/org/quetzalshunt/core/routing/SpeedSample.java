package org.quetzalshunt.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Samples candidates in proportion to their free speed.
 *
 * <p>Load pattern: many VMs with the same delayed reports, and engines of unequal speed. With candidates drawn alike,
 * both are often slow. With the best of all compared, every VM chooses the same endpoint. With candidates drawn by
 * free speed, the VMs together spread their requests as the free speed is spread.
 */
final class SpeedSample {
    private static final int SAMPLE_SIZE = 2;

    private SpeedSample() {}

    /**
     * Returns the sampled candidates.
     *
     * @param weight weight of a row, which is positive
     * @param alwaysIncluded whether a row is a candidate even if it was not sampled
     */
    static List<EndpointRow> of(
            List<EndpointRow> rows,
            SplittableRandom random,
            ToDoubleFunction<EndpointRow> weight,
            Predicate<EndpointRow> alwaysIncluded) {
        if (rows.size() <= SAMPLE_SIZE) {
            return rows;
        }
        List<EndpointRow> remaining = new ArrayList<>(rows);
        List<EndpointRow> sample = new ArrayList<>();
        while (sample.size() < SAMPLE_SIZE) {
            sample.add(remaining.remove(draw(remaining, random, weight)));
        }
        remaining.stream().filter(alwaysIncluded).forEach(sample::add);
        return sample;
    }

    private static int draw(List<EndpointRow> rows, SplittableRandom random, ToDoubleFunction<EndpointRow> weight) {
        double[] weights = rows.stream().mapToDouble(weight).toArray();
        double total = 0;
        for (double each : weights) {
            total += each;
        }
        double point = random.nextDouble() * total;
        for (int index = 0; index < weights.length; index++) {
            point -= weights[index];
            if (point < 0) {
                return index;
            }
        }
        return weights.length - 1;
    }
}
