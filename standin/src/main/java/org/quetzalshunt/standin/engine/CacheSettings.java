package org.quetzalshunt.standin.engine;

/**
 * Capacity and timing of the prefix cache.
 *
 * @param capacityTokens capacity of all entries together
 * @param eventLagMillis delay until an event is visible in {@code /engine/cache/events}
 * @param lostEventEvery one event in this many is lost, which is visible as a gap in the sequence; 0: none
 * @param transferTokensPerSecond rate of export and import
 */
public record CacheSettings(int capacityTokens, long eventLagMillis, int lostEventEvery, int transferTokensPerSecond) {
    /**
     * Capacity for about thirty conversations of 6,000 tokens; events are half a second late, and one in twenty is
     * lost.
     */
    public static CacheSettings defaults() {
        return new CacheSettings(200_000, 500, 20, 100_000);
    }

    /** Copy with another capacity. */
    public CacheSettings withCapacityTokens(int value) {
        return new CacheSettings(value, eventLagMillis, lostEventEvery, transferTokensPerSecond);
    }
}
