package org.quetzalshunt.core.limit;

/**
 * Estimates how many tokens per second the callers of one account request at this entry, as an exponentially decaying
 * average.
 */
final class Demand {
    /**
     * Time constant of the decay. It is short enough that an entry whose traffic has ended transfers its parts within
     * about a second, and long enough that the gaps in a steady traffic of ten requests per second do not count as its
     * end.
     */
    private static final double DECAY_MILLIS = 250;

    private double weightedCount;
    private long updatedMillis;

    void add(long nowMillis) {
        decay(nowMillis);
        weightedCount += 1;
    }

    double perSecond(long nowMillis) {
        decay(nowMillis);
        return weightedCount * 1_000 / DECAY_MILLIS;
    }

    private void decay(long nowMillis) {
        if (nowMillis > updatedMillis) {
            weightedCount *= Math.exp((updatedMillis - nowMillis) / DECAY_MILLIS);
            updatedMillis = nowMillis;
        }
    }
}
