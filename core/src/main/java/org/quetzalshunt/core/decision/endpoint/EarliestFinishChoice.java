package org.quetzalshunt.core.decision.endpoint;

import java.util.Optional;
import org.quetzalshunt.core.decision.WorkItem;

/**
 * Chooses the endpoint with the earliest expected finish among a few sampled endpoints and the one that has the prefix
 * in its cache.
 *
 * <p>Sampling follows the power of two choices (Mitzenmacher 2001) with more than two choices. It costs the same with
 * 1,700 endpoints as with 20, and entries with the same outdated reports do not all choose the same endpoint.
 */
public final class EarliestFinishChoice implements EndpointChoice {
    /**
     * Number of endpoints sampled. Two already prevent herding. With few open endpoints, the best of eight is an idle
     * one with a probability of 1 - 0.7^8 = 94% where 30% are idle. The cost grows in proportion.
     */
    static final int SAMPLE_SIZE = 8;

    /**
     * Expected finishes within this part of the best one count as equal, and one of them is chosen at random. Otherwise
     * all entries that see the same reports would choose the same endpoint until the next report.
     */
    static final double TIE_TOLERANCE = 0.05;

    /**
     * Relative gain in finish time for which a program moves to an endpoint without its prefix. This hysteresis is
     * needed because estimates are noisy: without it a program would move with each untypical answer, and each move
     * computes its whole history again.
     */
    static final double MINIMUM_MOVE_GAIN = 0.3;

    /**
     * Maximum wait for the endpoint that has the prefix, as a multiple of the time to compute the prefix again. A
     * multiple of one is the ski-rental bound (Karlin et al. 1988), which is at most twice the optimum in hindsight.
     * The multiple is ten because computing the prefix again also delays the other requests there: with a multiple of
     * two, goodput at twice the capacity falls from 0.98 to 0.75.
     */
    static final double MAXIMUM_WAIT_FACTOR = 10;

    /**
     * Relative slowdown of an answer on a full endpoint against an idle one, which accounts for load before it shows in
     * the measured speed. It is more than the real slowdown, so that load outweighs the noise of the measured speeds.
     * With 0.5, the p95 of the duration of programs rises from 18.6 s to 22.5 s when caches are small, which is worse
     * than with random choice (21.4 s).
     */
    static final double LOAD_SLOWDOWN = 2;

    /** Round trip between data centres, half a millisecond each way; it decides only between equal endpoints. */
    static final double CROSS_DATA_CENTRE_MILLIS = 1;

    private final String dataCentre;
    private final double[] finishMillis = new double[SAMPLE_SIZE];
    private final TrackedEndpoint[] sampled = new TrackedEndpoint[SAMPLE_SIZE];

    private EarliestFinishChoice(String dataCentre) {
        this.dataCentre = dataCentre;
    }

    /** Creates the choice for an entry in a data centre. */
    public static EndpointChoice from(String dataCentre) {
        return new EarliestFinishChoice(dataCentre);
    }

    @Override
    public Optional<TrackedEndpoint> choose(PlacementRequest request, ServiceEndpoints endpoints) {
        Optional<TrackedEndpoint> holder =
                request.prefixHolder().filter(endpoint -> endpoint.usable() && !request.avoids(endpoint));
        boolean holderHasCapacity = holder.isPresent() && endpoints.hasCapacity(holder.get(), request);
        if (holder.isPresent() && !holderHasCapacity && isWorthWaiting(request, endpoints)) {
            return Optional.empty();
        }
        Optional<TrackedEndpoint> other = bestSampled(request, endpoints);
        if (!holderHasCapacity) {
            return other;
        }
        if (other.isEmpty()) {
            return holder;
        }
        double holderMillis = expectedMillis(request, holder.get(), endpoints);
        double otherMillis = expectedMillis(request, other.get(), endpoints);
        return otherMillis * (1 + MINIMUM_MOVE_GAIN) < holderMillis ? other : holder;
    }

    private static boolean isWorthWaiting(PlacementRequest request, ServiceEndpoints endpoints) {
        TrackedEndpoint holder = request.prefixHolder().orElseThrow();
        double prefillPerSecond = endpoints.speed().prefillPerSecond();
        double recomputeMillis = request.cachedTokensAt(holder) * 1_000.0 / prefillPerSecond;
        return request.nowMillis() - request.item().arrivedMillis() < MAXIMUM_WAIT_FACTOR * recomputeMillis;
    }

    private Optional<TrackedEndpoint> bestSampled(PlacementRequest request, ServiceEndpoints endpoints) {
        int count = sample(request, endpoints);
        double best = Double.POSITIVE_INFINITY;
        for (int index = 0; index < count; index++) {
            finishMillis[index] = expectedMillis(request, sampled[index], endpoints);
            best = Math.min(best, finishMillis[index]);
        }
        TrackedEndpoint chosen = null;
        int ties = 0;
        for (int index = 0; index < count; index++) {
            if (finishMillis[index] <= best * (1 + TIE_TOLERANCE)
                    && endpoints.random().nextInt(++ties) == 0) {
                chosen = sampled[index];
            }
        }
        return Optional.ofNullable(chosen);
    }

    private int sample(PlacementRequest request, ServiceEndpoints endpoints) {
        int open = endpoints.openCount(request.urgency());
        boolean all = open <= SAMPLE_SIZE;
        int count = 0;
        for (int index = 0; index < Math.min(SAMPLE_SIZE, open); index++) {
            int number = all ? index : endpoints.random().nextInt(open);
            TrackedEndpoint endpoint = endpoints.open(request.urgency(), number);
            boolean usableHere = !request.avoids(endpoint) || endpoints.usableCount() == 1;
            if (usableHere && endpoints.hasCapacity(endpoint, request)) {
                sampled[count++] = endpoint;
            }
        }
        return count;
    }

    /**
     * Returns the expected milliseconds until the last token: prefill of the uncached prompt and decoding of the
     * answer, both slowed down by the present load.
     */
    double expectedMillis(PlacementRequest request, TrackedEndpoint endpoint, ServiceEndpoints endpoints) {
        WorkItem item = request.item();
        long now = request.nowMillis();
        double uncachedTokens = item.promptTokens() - request.cachedTokensAt(endpoint);
        double prefillSeconds = uncachedTokens / endpoint.speeds().prefillPerSecond(now, endpoints.speed());
        double decodeSeconds = item.expectedOutputTokens() / endpoint.speeds().decodePerSecond(now, endpoints.speed());
        double loadPart = Math.min(2, endpoint.load() / Math.max(1, endpoint.limit()));
        double networkMillis = endpoint.state().dataCentre().equals(dataCentre) ? 0 : CROSS_DATA_CENTRE_MILLIS;
        return 1_000 * (prefillSeconds + decodeSeconds) * (1 + LOAD_SLOWDOWN * loadPart) + networkMillis;
    }
}
