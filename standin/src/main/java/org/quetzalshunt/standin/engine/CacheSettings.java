package org.quetzalshunt.standin.engine;

/**
 * The prefix cache.
 *
 * @param capacityTokens tokens kept over all entries
 * @param eventLagMillis time until an event shows in {@code /engine/cache/events}
 * @param lostEventEvery every so many events one is lost, which shows as a gap in their sequence; 0: none
 * @param transferTokensPerSecond speed of export and import
 */
public record CacheSettings(int capacityTokens, long eventLagMillis, int lostEventEvery, int transferTokensPerSecond) {
    /** Room for some thirty conversations of 6,000 tokens; events half a second late, one in twenty lost. */
    public static CacheSettings defaults() {
        return new CacheSettings(200_000, 500, 20, 100_000);
    }

    /** The same with another capacity. */
    public CacheSettings withCapacityTokens(int value) {
        return new CacheSettings(value, eventLagMillis, lostEventEvery, transferTokensPerSecond);
    }
}
