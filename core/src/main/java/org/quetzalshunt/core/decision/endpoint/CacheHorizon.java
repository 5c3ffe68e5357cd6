package org.quetzalshunt.core.decision.endpoint;

/**
 * How much work an endpoint can take before it has evicted a prefix, learnt from hits and misses.
 *
 * <p>Answers cache thrash and long tool pauses: engines evict the prefix that was used longest ago and say so late
 * or never, so "it was there" goes stale. Without it programs wait for an endpoint that has long forgotten them. The
 * horizon is measured in tokens that this entry placed there since, which follows the load by itself.
 */
public final class CacheHorizon {
    /** Horizon before the first miss: everything is believed, since a wrong belief costs one miss and corrects it. */
    private static final double UNBOUNDED = 1e12;

    /** Smallest horizon: one long prompt, since what was just placed is there. */
    private static final double SMALLEST = 4_096;

    /** Cut after a miss inside the horizon; a miss shows that the true horizon is below the tokens placed since. */
    private static final double CUT = 0.9;

    /** Growth after a hit near the edge, so that a horizon cut by one odd eviction comes back in some ten hits. */
    private static final double GROWTH = 1.1;

    private double tokens = UNBOUNDED;
    private double placedTokens;

    CacheHorizon() {}

    /** Tokens placed on the endpoint so far. */
    public double placedTokens() {
        return placedTokens;
    }

    /** Whether a prefix placed at that mark is believed to be there still. */
    public boolean believes(double mark) {
        return placedTokens - mark <= tokens;
    }

    /** Counts tokens that an attempt added to the cache. */
    public void placed(long tokensAdded) {
        placedTokens += tokensAdded;
    }

    /** Learns whether a prefix placed at that mark was still there. */
    public void observed(double mark, boolean hit) {
        double since = placedTokens - mark;
        if (hit && since > tokens / 2) {
            tokens = Math.max(tokens, since * GROWTH);
        }
        if (!hit && since <= tokens) {
            tokens = Math.max(SMALLEST, since * CUT);
        }
    }
}
