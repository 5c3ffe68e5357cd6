package org.quetzalshunt.core.attempt;

/**
 * Statistics of an {@link EndpointGate} for reports and diagnostics.
 *
 * @param running running attempts
 * @param finished finished attempts whose frames are retained
 * @param cachedResults attempts of which only the result is retained
 * @param shards shards whose highest epoch is recorded
 * @param heldPrograms programs whose cache entry is not freed yet
 * @param freedPrograms cache entries freed since the start
 * @param refused orders refused since the start
 * @param leaving whether a planned stop has begun and new orders are refused
 */
public record GateStatistics(
        int running,
        int finished,
        int cachedResults,
        int shards,
        int heldPrograms,
        long freedPrograms,
        long refused,
        boolean leaving) {}
