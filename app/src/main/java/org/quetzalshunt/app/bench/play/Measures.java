package org.quetzalshunt.app.bench.play;

import java.util.Map;

/**
 * What callers got in one run of a play under one policy.
 *
 * @param p50Millis program latency without tool pauses, median; an abandoned program counts with its caller's patience
 * @param p95Millis the same, 95th percentile
 * @param p99Millis the same, 99th percentile
 * @param completedP95Millis 95th percentile over programs that completed
 * @param programs programs that ended
 * @param abandoned programs whose callers lost patience
 * @param recomputedTokens prompt tokens computed that a cache could have held, and prompts of attempts that were lost
 * @param worstShare lowest share of its entitlement that an account got
 * @param worstP95Millis highest 95th percentile of program latency among accounts within their rate
 * @param withinRateP95Millis 95th percentile over the programs of all accounts within their rate
 * @param accountP95Millis 95th percentile of each account
 * @param refusalsWithinRate refusals and expiries of accounts within their rate
 * @param goodput necessary work answered in time while programs arrived, as a part of capacity
 * @param utilisation work done by the engines while programs arrived, as a part of capacity
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
