package org.quetzalshunt.core.decision.endpoint;

import java.util.Optional;
import org.quetzalshunt.core.decision.WorkItem;

/**
 * Chooses the endpoint with the earliest expected finish among a few sampled ones and the one that holds the prefix.
 *
 * <p>Sampling is the power of two choices (Mitzenmacher 2001) with more than two: it costs the same with 1,700
 * endpoints as with 20, and entries with the same lagging reports do not all pick the same best one.
 */
public final class ExpectedFinish implements EndpointChoice {
    /**
     * Endpoints sampled. Two already bound herding; at few open endpoints the best of eight finds the idle one with
     * 1 - 0.7^8 = 94% where a third are idle. The cost grows in proportion.
     */
    static final int SAMPLE = 8;

    /**
     * Expected finishes within this part of the best are equal, and chance decides. Answers many entries that see
     * the same reports: without it each goes to the same best one until the next report.
     */
    static final double NEAR_EQUAL = 0.05;

    /**
     * How much sooner another endpoint must promise to finish before a program leaves its prefix behind: the
     * hysteresis of moving. Answers estimates that differ by noise: without it a program moves with each odd answer,
     * and each move computes its whole history again.
     */
    static final double MOVE_GAIN = 0.3;

    /**
     * Waiting for the endpoint that holds the prefix, in parts of the time that computing it again would take.
     * Waiting as long as the cost of giving up is the ski-rental bound (Karlin et al. 1988): never more than twice
     * the best in hindsight. Ten times that, since what is computed again also delays everybody else there: with two,
     * goodput at twice the capacity was 0.75, with ten 0.98 (three seeds, with aged new programs held below begun
     * ones).
     */
    static final double PREFIX_PATIENCE = 10;

    /**
     * Slowdown of an answer on a full endpoint beside an idle one, by which load enters before speed shows it. More
     * than answers really slow down, so that load outweighs the noise of measured speeds: with 0.5 the play of small
     * caches had a program p95 of 22.5 s, with 2 it had 18.6 s, where chance gave 21.4 s.
     */
    static final double LOAD_SLOWDOWN = 2;

    /** Two ways between data centres at half a millisecond each; it decides only between equals. */
    static final double CROSS_DATA_CENTRE_MILLIS = 1;

    private final String dataCentre;
    private final double[] scores = new double[SAMPLE];
    private final EndpointEntry[] sampled = new EndpointEntry[SAMPLE];

    private ExpectedFinish(String dataCentre) {
        this.dataCentre = dataCentre;
    }

    /** For an entry in a data centre. */
    public static EndpointChoice from(String dataCentre) {
        return new ExpectedFinish(dataCentre);
    }

    @Override
    public Optional<EndpointEntry> choose(PlacementRequest request, ServiceEndpoints endpoints) {
        Optional<EndpointEntry> holder = request.cached().filter(entry -> entry.usable() && !request.avoids(entry));
        boolean holderOpen = holder.isPresent() && endpoints.isOpen(holder.get(), request);
        if (holder.isPresent() && !holderOpen && worthWaiting(request, endpoints)) {
            return Optional.empty();
        }
        Optional<EndpointEntry> other = bestSampled(request, endpoints);
        if (!holderOpen) {
            return other;
        }
        if (other.isEmpty()) {
            return holder;
        }
        double stay = expectedMillis(request, holder.get(), endpoints);
        double move = expectedMillis(request, other.get(), endpoints);
        return move * (1 + MOVE_GAIN) < stay ? other : holder;
    }

    private static boolean worthWaiting(PlacementRequest request, ServiceEndpoints endpoints) {
        EndpointEntry holder = request.cached().orElseThrow();
        double prefill = endpoints.speed().prefillPerSecond();
        double again = request.cachedTokensAt(holder) * 1_000.0 / prefill;
        return request.nowMillis() - request.item().arrivedMillis() < PREFIX_PATIENCE * again;
    }

    private Optional<EndpointEntry> bestSampled(PlacementRequest request, ServiceEndpoints endpoints) {
        int count = sample(request, endpoints);
        double best = Double.POSITIVE_INFINITY;
        for (int index = 0; index < count; index++) {
            scores[index] = expectedMillis(request, sampled[index], endpoints);
            best = Math.min(best, scores[index]);
        }
        EndpointEntry chosen = null;
        int equals = 0;
        for (int index = 0; index < count; index++) {
            if (scores[index] <= best * (1 + NEAR_EQUAL) && endpoints.random().nextInt(++equals) == 0) {
                chosen = sampled[index];
            }
        }
        return Optional.ofNullable(chosen);
    }

    private int sample(PlacementRequest request, ServiceEndpoints endpoints) {
        int open = endpoints.openCount(request.urgency());
        boolean all = open <= SAMPLE;
        int count = 0;
        for (int index = 0; index < Math.min(SAMPLE, open); index++) {
            int number = all ? index : endpoints.random().nextInt(open);
            EndpointEntry entry = endpoints.open(request.urgency(), number);
            boolean usableHere = !request.avoids(entry) || endpoints.usableCount() == 1;
            if (usableHere && endpoints.isOpen(entry, request)) {
                sampled[count++] = entry;
            }
        }
        return count;
    }

    /** Expected milliseconds until the last token: the uncached prompt, then the answer at the present load. */
    double expectedMillis(PlacementRequest request, EndpointEntry entry, ServiceEndpoints endpoints) {
        WorkItem item = request.item();
        long now = request.nowMillis();
        double uncached = item.promptTokens() - request.cachedTokensAt(entry);
        double prefill = uncached / entry.speeds().prefillPerSecond(now, endpoints.speed());
        double decode = item.expectedOutputTokens() / entry.speeds().decodePerSecond(now, endpoints.speed());
        double loadPart = Math.min(2, entry.load() / Math.max(1, entry.limit()));
        double distance = entry.state().dataCentre().equals(dataCentre) ? 0 : CROSS_DATA_CENTRE_MILLIS;
        return 1_000 * (prefill + decode) * (1 + LOAD_SLOWDOWN * loadPart) + distance;
    }
}
