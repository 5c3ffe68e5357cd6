package org.quetzalshunt.core.decision.queue;

import org.quetzalshunt.core.decision.WorkItem;

/** Order of the requests of one client account: the request with the lowest key goes first. */
@FunctionalInterface
public interface QueueOrder {
    /**
     * Attained work at which a program leaves the first level, which separates short tutoring programs from long
     * planning ones. With a lower value, a program of three short turns falls behind a new one; with a higher value,
     * long programs count as short. 8,000 tokens are three turns of 500 new prompt tokens and 250 output tokens.
     */
    long FIRST_LEVEL_TOKENS = 8_000;

    /**
     * Waiting time that offsets one level. It prevents a steady stream of short programs from starving long ones: a
     * request on level n is overtaken only by requests that arrive at most n times this later. One level is some four
     * times the mean wait at 85% load.
     */
    long LEVEL_MILLIS = 2_000;

    /**
     * Maximum level. It bounds the time for which newer requests can overtake an older one to 6 × 2 s = 12 s, a fifth
     * of the usual deadline.
     */
    int MAXIMUM_LEVEL = 6;

    /**
     * Returns the key of a request in milliseconds; it changes while the request waits only if the attained work grows.
     */
    long key(WorkItem item, long attainedTokens);

    /** First come, first served. */
    static QueueOrder arrival() {
        return (item, attainedTokens) -> item.arrivedMillis();
    }

    /**
     * Least attained service with levels that double in size, and with ageing: a multi-level feedback queue over whole
     * programs, as in Autellix (Luo et al. 2025). All waiting requests age at the same rate, so keys need no update:
     * the key is the arrival time plus a fixed number of milliseconds per level.
     */
    static QueueOrder leastAttained() {
        return (item, attainedTokens) -> item.arrivedMillis() + LEVEL_MILLIS * level(attainedTokens);
    }

    /** Returns the level of a program: zero below {@link #FIRST_LEVEL_TOKENS}, then one more per doubling. */
    static int level(long attainedTokens) {
        long ratio = attainedTokens / FIRST_LEVEL_TOKENS;
        int level = Long.SIZE - Long.numberOfLeadingZeros(ratio);
        return Math.min(level, MAXIMUM_LEVEL);
    }
}
