package org.quetzalshunt.app.bench.scenario;

import java.util.Map;

/**
 * Results of one run of a scenario under one policy.
 *
 * @param p50Millis median program latency without tool pauses; an abandoned program counts with at least the time after
 *     which callers abandon
 * @param p95Millis 95th percentile of that latency
 * @param p99Millis 99th percentile of that latency
 * @param completedP95Millis 95th percentile over completed programs only
 * @param programs programs that completed or were abandoned
 * @param abandoned programs that their callers abandoned
 * @param recomputedTokens history tokens computed again because the engine had not cached them, plus the prompt tokens
 *     computed for attempts that were lost while they generated output
 * @param worstShare lowest fraction of its max-min fair entitlement that any account received
 * @param worstP95Millis highest per-account 95th percentile of program latency among accounts within their rate
 * @param withinRateP95Millis 95th percentile of program latency over the programs of all accounts within their rate
 * @param accountP95Millis 95th percentile of program latency by account name
 * @param refusalsWithinRate requests of accounts within their rate that were refused or expired in the queue
 * @param goodput necessary work answered after warm-up while programs arrived, as a fraction of capacity
 * @param utilisation work done by the engines while programs arrived, as a fraction of capacity
 */
public record Measures(
        double p50Millis,
        double p95Millis,
        double p99Millis,
        double completedP95Millis,
        int programs,
        int abandoned,
        long recomputedTokens,
        double worstShare,
        double worstP95Millis,
        double withinRateP95Millis,
        Map<String, Double> accountP95Millis,
        long refusalsWithinRate,
        double goodput,
        double utilisation) {}
