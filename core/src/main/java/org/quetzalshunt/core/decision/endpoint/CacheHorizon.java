package org.quetzalshunt.core.decision.endpoint;

/**
 * Estimates from cache hits and misses how many tokens can be added to the prefix cache of an endpoint before a given
 * prefix is evicted.
 *
 * <p>Engines evict the least recently used prefix and report this late or not at all, so the location of a prefix
 * becomes stale under cache thrashing and during long tool pauses. Without the estimate, programs would wait for an
 * endpoint that has evicted their prefix. The horizon is measured in tokens that this entry has added since, so that it
 * adapts to the load.
 */
public final class CacheHorizon {
    /**
     * Horizon before the first miss: every prefix counts as cached, since a wrong assumption costs a single miss, which
     * corrects it.
     */
    private static final double UNBOUNDED_TOKENS = 1e12;

    /** Minimum horizon: the size of one long prompt, since a prefix that was just added is in the cache. */
    private static final double MINIMUM_TOKENS = 4_096;

    /**
     * Factor after a miss inside the horizon; the miss shows that the true horizon is below the number of tokens added
     * since.
     */
    private static final double MISS_FACTOR = 0.9;

    /**
     * Factor after a hit near the horizon. A horizon that was reduced because of one untypical eviction recovers within
     * some ten hits.
     */
    private static final double HIT_FACTOR = 1.1;

    private double horizonTokens = UNBOUNDED_TOKENS;
    private double placedTokens;

    CacheHorizon() {}

    /** Returns the number of tokens added to the cache of the endpoint so far. */
    public double placedTokens() {
        return placedTokens;
    }

    /**
     * Whether a prefix is probably still cached.
     *
     * @param placedBefore value of {@link #placedTokens} when the prefix was added
     */
    public boolean isLikelyCached(double placedBefore) {
        return placedTokens - placedBefore <= horizonTokens;
    }

    /** Counts tokens that an attempt added to the cache. */
    public void recordPlaced(long tokensAdded) {
        placedTokens += tokensAdded;
    }

    /**
     * Updates the horizon with a cache lookup.
     *
     * @param placedBefore value of {@link #placedTokens} when the prefix was added
     * @param hit whether the prefix was still cached
     */
    public void recordLookup(double placedBefore, boolean hit) {
        double since = placedTokens - placedBefore;
        if (hit && since > horizonTokens / 2) {
            horizonTokens = Math.max(horizonTokens, since * HIT_FACTOR);
        }
        if (!hit && since <= horizonTokens) {
            horizonTokens = Math.max(MINIMUM_TOKENS, since * MISS_FACTOR);
        }
    }
}
