package org.quetzalshunt.core.limit;

/** How many tokens a second the callers of one account ask for at this entry, weighed by age. */
final class Demand {
    /**
     * Quarter of a second: an entry that traffic has left gives up its part within a second, and the gaps of a steady
     * tenant at ten requests a second do not look like an end of traffic.
     */
    private static final double MEMORY_MILLIS = 250;

    private double weighted;
    private long updatedMillis;

    void add(long nowMillis) {
        decay(nowMillis);
        weighted += 1;
    }

    double perSecond(long nowMillis) {
        decay(nowMillis);
        return weighted * 1_000 / MEMORY_MILLIS;
    }

    private void decay(long nowMillis) {
        if (nowMillis > updatedMillis) {
            weighted *= Math.exp((updatedMillis - nowMillis) / MEMORY_MILLIS);
            updatedMillis = nowMillis;
        }
    }
}
