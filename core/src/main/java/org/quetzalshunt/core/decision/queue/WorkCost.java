package org.quetzalshunt.core.decision.queue;

import org.quetzalshunt.core.decision.WorkItem;

/** Tokens of work: the unit of fair shares and of attained service, counted in prompt tokens to be computed. */
public final class WorkCost {
    /**
     * What one output token costs beside one prompt token. Answers accounts whose requests differ in shape: counted
     * alike, an account with long answers and short prompts would take several times its share of an engine's time.
     * Engines with continuous batching compute a prompt 5 to 10 times as fast as they decode; the virtual token
     * counter's authors charge 2, which is a price, not a cost.
     */
    public static final long OUTPUT_TOKEN_COST = 8;

    private WorkCost() {}

    /** Work of a prompt part that is not in a cache and of an answer. */
    public static long of(long uncachedPromptTokens, long outputTokens) {
        return Math.max(0, uncachedPromptTokens) + OUTPUT_TOKEN_COST * Math.max(0, outputTokens);
    }

    /** Work of a request before it runs, when so much of its prompt is believed to be cached. */
    public static long expected(WorkItem item, long cachedTokens) {
        return of(item.promptTokens() - cachedTokens, item.expectedOutputTokens());
    }
}
