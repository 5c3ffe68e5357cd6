package org.quetzalshunt.core.dispatch;

/** Rates at which first turns of each urgency arrived at this VM in about the last second. */
final class RecentStarts {
    /** Number of urgencies that are distinguished; higher ones count as the last. */
    private static final int LEVELS = 10;

    private static final double DECAY_MILLIS = 1_000;

    /** A less urgent kind counts as present while its decayed number is above this: for some three seconds. */
    private static final double PRESENT = 0.05;

    private final double[] counts = new double[LEVELS];
    private long updatedMillis;

    void add(long nowMillis, int urgency) {
        decay(nowMillis);
        counts[level(urgency)]++;
    }

    /** Rate of the kinds that are more urgent, per millisecond. */
    double moreUrgentPerMilli(long nowMillis, int urgency) {
        decay(nowMillis);
        double sum = 0;
        for (int level = 0; level < level(urgency); level++) {
            sum += counts[level];
        }
        return sum / DECAY_MILLIS;
    }

    /** Whether a less urgent kind arrived lately. */
    boolean hasLessUrgent(long nowMillis, int urgency) {
        decay(nowMillis);
        double sum = 0;
        for (int level = level(urgency) + 1; level < LEVELS; level++) {
            sum += counts[level];
        }
        return sum > PRESENT;
    }

    private void decay(long nowMillis) {
        double factor = Math.exp(-Math.max(0, nowMillis - updatedMillis) / DECAY_MILLIS);
        for (int level = 0; level < LEVELS; level++) {
            counts[level] *= factor;
        }
        updatedMillis = Math.max(updatedMillis, nowMillis);
    }

    private static int level(int urgency) {
        return Math.max(0, Math.min(LEVELS - 1, urgency));
    }
}
