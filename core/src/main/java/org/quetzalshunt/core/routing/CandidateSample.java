package org.quetzalshunt.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * The power of two choices: the better of two endpoints that were picked at random, in place of the best of all. One of them
 * is in the VM's own data centre, if any is: a VM then sends most of its work to a part of the endpoints, over connections
 * that stay in use.
 *
 * <p>Load pattern: many VMs that know each other's loads only as they were a moment ago. The endpoint that looked best to
 * all of them gets the work of all of them, and requests queue there while other endpoints are idle. Of two picked at
 * random, the less loaded one is nearly always good, and no two VMs pick alike. See Mitzenmacher, "How useful is old
 * information?" (2000).
 */
final class CandidateSample {
    private static final int SAMPLED = 2;

    private CandidateSample() {}

    /**
     * Picks candidates.
     *
     * @param local whether a row is in this VM's data centre
     * @param always rows that are candidates whether or not they were picked
     */
    static List<EndpointRow> of(
            List<EndpointRow> rows,
            SplittableRandom random,
            Predicate<EndpointRow> local,
            Predicate<EndpointRow> always) {
        if (rows.size() <= SAMPLED) {
            return rows;
        }
        List<EndpointRow> rest = new ArrayList<>(rows);
        List<EndpointRow> sample = new ArrayList<>();
        List<EndpointRow> nearby = rows.stream().filter(local).toList();
        if (!nearby.isEmpty()) {
            EndpointRow picked = nearby.get(random.nextInt(nearby.size()));
            rest.remove(picked);
            sample.add(picked);
        }
        while (sample.size() < SAMPLED) {
            sample.add(rest.remove(random.nextInt(rest.size())));
        }
        rest.stream().filter(always).forEach(sample::add);
        return sample;
    }
}
