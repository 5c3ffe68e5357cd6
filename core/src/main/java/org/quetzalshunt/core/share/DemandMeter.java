package org.quetzalshunt.core.share;

/** Requests a second, averaged over the last seconds with exponential decay. */
public final class DemandMeter {
    /** Long enough to smooth programs that send a handful of calls at once, short enough to follow a burst. */
    private static final double WINDOW_MILLIS = 3_000;

    private double rate;
    private long countedMillis;

    private DemandMeter(long nowMillis) {
        this.countedMillis = nowMillis;
    }

    /** A meter that has seen nothing. */
    public static DemandMeter create(long nowMillis) {
        return new DemandMeter(nowMillis);
    }

    /** Counts a request. */
    public void count(long nowMillis) {
        decay(nowMillis);
        rate += 1_000 / WINDOW_MILLIS;
    }

    /** Requests a second. */
    public double perSecond(long nowMillis) {
        decay(nowMillis);
        return rate;
    }

    private void decay(long nowMillis) {
        long elapsed = Math.max(0, nowMillis - countedMillis);
        countedMillis = nowMillis;
        rate *= Math.exp(-elapsed / WINDOW_MILLIS);
    }
}
