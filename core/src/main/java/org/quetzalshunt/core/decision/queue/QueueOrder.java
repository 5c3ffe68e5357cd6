package org.quetzalshunt.core.decision.queue;

import org.quetzalshunt.core.decision.WorkItem;

/** Order inside one client account: the request with the lowest key goes first. */
@FunctionalInterface
public interface QueueOrder {
    /**
     * Attained work at which a program leaves the first level. Answers short tutor programs among long planning
     * ones: a lower value lets a program of three short turns sink below a new one, a higher one lets long programs
     * pass as short. 8,000 is three turns of 500 new prompt tokens and 250 output tokens.
     */
    long FIRST_LEVEL_TOKENS = 8_000;

    /**
     * Waiting that lifts a program by one level, which is the ageing and the bound: a program on level n is passed
     * only by requests that come at most n times this after its own. Answers a steady stream of short programs,
     * which would starve long ones without it. One level is some four times the mean wait at 85% load.
     */
    long LEVEL_MILLIS = 2_000;

    /**
     * Levels beyond which attained work counts no further, so that nobody waits behind newer work for longer than
     * 6 × 2 s = 12 s, a fifth of the usual deadline.
     */
    int HIGHEST_LEVEL = 6;

    /** Key of a request, in milliseconds; it does not change while the request waits unless attained work grows. */
    long key(WorkItem item, long attainedTokens);

    /** First come, first served. */
    static QueueOrder arrival() {
        return (item, attainedTokens) -> item.arrivedMillis();
    }

    /**
     * Least attained service in levels that double (a multi-level feedback queue over whole programs, as in Autellix,
     * Luo et al. 2025), with ageing. As every waiting request ages alike, ageing needs no update: a level is worth a
     * fixed head start, and the key is the arrival plus the level's milliseconds.
     */
    static QueueOrder leastAttained() {
        return (item, attainedTokens) -> item.arrivedMillis() + LEVEL_MILLIS * level(attainedTokens);
    }

    /** Level of a program by its attained work: zero below {@link #FIRST_LEVEL_TOKENS}, then one per doubling. */
    static int level(long attainedTokens) {
        long ratio = attainedTokens / FIRST_LEVEL_TOKENS;
        int level = Long.SIZE - Long.numberOfLeadingZeros(ratio);
        return Math.min(level, HIGHEST_LEVEL);
    }
}
