package org.quetzalshunt.core.decision.queue;

import org.quetzalshunt.core.decision.WorkItem;

/**
 * Cost of work in tokens, the unit of fair shares and of attained service. One unit is the cost of prefilling one
 * prompt token.
 */
public final class WorkCost {
    /**
     * Cost of one output token relative to one prompt token. With equal costs, an account with long answers and short
     * prompts would take several times its share of engine time. Engines with continuous batching prefill 5 to 10 times
     * as fast as they decode. The authors of the virtual token counter use 2, which is a price and not a cost.
     */
    public static final long OUTPUT_TOKEN_COST = 8;

    private WorkCost() {}

    /** Returns the cost of the uncached part of a prompt and of an answer. */
    public static long of(long uncachedPromptTokens, long outputTokens) {
        return Math.max(0, uncachedPromptTokens) + OUTPUT_TOKEN_COST * Math.max(0, outputTokens);
    }

    /** Returns the expected cost of a request that has not run yet. */
    public static long expected(WorkItem item, long cachedTokens) {
        return of(item.promptTokens() - cachedTokens, item.expectedOutputTokens());
    }
}
