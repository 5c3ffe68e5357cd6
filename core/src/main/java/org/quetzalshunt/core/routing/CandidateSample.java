package org.quetzalshunt.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Samples candidates by the power of two choices: the better of two random endpoints is used instead of the best of
 * all. One of the two is in the VM's own data centre if possible, so that a VM sends most of its work to a subset of
 * the endpoints over connections that stay in use.
 *
 * <p>Load pattern: many VMs that see each other's loads with a delay. The endpoint that looks best to one VM looks best
 * to all, so they all send to it, and requests queue there while other endpoints are idle. The less loaded of two
 * random endpoints is nearly always a good choice, and different VMs pick different pairs. See Mitzenmacher, "How
 * useful is old information?" (2000).
 */
final class CandidateSample {
    private static final int SAMPLE_SIZE = 2;

    private CandidateSample() {}

    /**
     * Returns the sampled candidates.
     *
     * @param local whether a row is in this VM's data centre
     * @param alwaysIncluded whether a row is a candidate even if it was not sampled
     */
    static List<EndpointRow> of(
            List<EndpointRow> rows,
            SplittableRandom random,
            Predicate<EndpointRow> local,
            Predicate<EndpointRow> alwaysIncluded) {
        if (rows.size() <= SAMPLE_SIZE) {
            return rows;
        }
        List<EndpointRow> remaining = new ArrayList<>(rows);
        List<EndpointRow> sample = new ArrayList<>();
        List<EndpointRow> localRows = rows.stream().filter(local).toList();
        if (!localRows.isEmpty()) {
            EndpointRow picked = localRows.get(random.nextInt(localRows.size()));
            remaining.remove(picked);
            sample.add(picked);
        }
        while (sample.size() < SAMPLE_SIZE) {
            sample.add(remaining.remove(random.nextInt(remaining.size())));
        }
        remaining.stream().filter(alwaysIncluded).forEach(sample::add);
        return sample;
    }
}
