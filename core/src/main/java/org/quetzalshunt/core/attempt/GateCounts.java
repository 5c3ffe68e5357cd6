package org.quetzalshunt.core.attempt;

/**
 * Figures for reports and dumps.
 *
 * @param running attempts that run
 * @param finished finished attempts whose frames are kept
 * @param remembered attempts of which only the result is kept
 * @param shards shards of which an epoch is known
 * @param heldPrograms programs whose cache entry is held
 * @param freedPrograms entries freed since the start
 * @param refused orders refused since the start
 * @param leaving whether new orders are refused
 */
public record GateCounts(
        int running,
        int finished,
        int remembered,
        int shards,
        int heldPrograms,
        long freedPrograms,
        long refused,
        boolean leaving) {}
