package org.quetzalshunt.core.routing;

/** Mark of an endpoint whose events are overdue, and the usual length of its slow phases. */
final class SlowPhase {
    private static final double MINIMUM_MILLIS = 100;
    private static final double MAXIMUM_MILLIS = 2_000;

    /** Assumed before the end of the first phase was seen. */
    private static final double INITIAL_MILLIS = 500;

    /** Weight of the newest phase in the moving average, which covers about the last four phases. */
    private static final double PHASE_WEIGHT = 0.25;

    private double usualMillis = INITIAL_MILLIS;
    private long sinceMillis;
    private long untilMillis = Long.MIN_VALUE / 2;
    private boolean endSeen = true;

    boolean isMarked(long nowMillis) {
        return nowMillis < untilMillis;
    }

    /**
     * Marks the endpoint. A phase that lasts longer than usual is extended in short steps, while events are overdue.
     *
     * @param sinceMillis when the overdue event was due
     * @return whether the endpoint was not marked before
     */
    boolean mark(long nowMillis, long sinceMillis) {
        boolean isNew = !isMarked(nowMillis);
        if (isNew && (endSeen || nowMillis - untilMillis > MAXIMUM_MILLIS)) {
            this.sinceMillis = sinceMillis;
            untilMillis = sinceMillis + (long) usualMillis;
        }
        endSeen = false;
        untilMillis = Math.max(untilMillis, nowMillis + (long) MINIMUM_MILLIS);
        return isNew;
    }

    /** Records an event that was in time; the first one after a mark shows how long the phase has lasted. */
    void recordInTime(long nowMillis) {
        if (endSeen) {
            return;
        }
        endSeen = true;
        double lasted = Math.min(MAXIMUM_MILLIS, Math.max(MINIMUM_MILLIS, (double) (nowMillis - sinceMillis)));
        usualMillis += PHASE_WEIGHT * (lasted - usualMillis);
        untilMillis = nowMillis;
    }

    double usualMillis() {
        return usualMillis;
    }

    /** Forgets the phases of the former process after a restart. */
    void clear() {
        usualMillis = INITIAL_MILLIS;
        untilMillis = Long.MIN_VALUE / 2;
        endSeen = true;
    }
}
