package org.quetzalshunt.app.bench.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.quetzalshunt.core.decision.Policy;

/** Evaluates scenario results against the performance targets. */
public final class Targets {
    private static final int SMALL_ENDPOINTS = 100;
    private static final int SMALL_PROGRAMS = 1_000;
    private static final int LARGE_ENDPOINTS = 1_700;
    private static final int LARGE_PROGRAMS = 17_000;

    private static final String STANDARD = Policy.standard().name();
    private static final String ROUND_ROBIN = Policy.roundRobin().name();
    private static final String LEAST_LOADED = Policy.leastLoaded().name();

    private Targets() {}

    /** Targets of one scenario. */
    public static List<Target> of(ScenarioResults table, List<Long> seeds) {
        List<Target> targets = new ArrayList<>();
        String scenario = table.scenario().name();
        // In the flood scenario, the flooding account's own programs are meant to wait, so its latency is left out.
        boolean flood = table.scenario().equals(Scenarios.flood());
        ToDoubleFunction<Measures> p95 = flood ? Measures::withinRateP95Millis : Measures::p95Millis;
        String comparison = flood ? ": program p95 within rate / " : ": program p95 / ";
        for (String other : table.policyNames()) {
            if (!other.equals(STANDARD)) {
                targets.add(Target.atMost(scenario + comparison + other, table.ratio(STANDARD, other, p95), 1));
            }
        }
        targets.add(Target.atMost(
                scenario + ": tokens computed again / least-loaded",
                table.ratio(STANDARD, LEAST_LOADED, Measures::recomputedTokens),
                0.35));
        if (table.scenario().equals(Scenarios.saturation())) {
            targets.add(
                    Target.atLeast(scenario + ": goodput / capacity", table.mean(STANDARD, Measures::goodput), 0.95));
        } else {
            targets.add(Target.atMost(
                    scenario + ": refusals within rate", table.mean(STANDARD, Measures::refusalsWithinRate), 0));
        }
        if (table.scenario().equals(Scenarios.longAmongShort())) {
            targets.add(Target.atMost(
                    scenario + ": program p95 / round-robin, to 0.6",
                    table.ratio(STANDARD, ROUND_ROBIN, Measures::p95Millis),
                    0.6));
        }
        if (flood) {
            ScenarioResults withoutFlood =
                    ScenarioResults.measure(Scenarios.floodWithFactor(0), List.of(Policy.standard()), seeds);
            targets.add(Target.atMost(
                    scenario + ": quiet accounts' p95 together / without the flood",
                    table.mean(STANDARD, Measures::withinRateP95Millis)
                            / withoutFlood.mean(STANDARD, Measures::withinRateP95Millis),
                    1.2));
            targets.add(Target.atMost(
                    scenario + ": worst single quiet account's p95 / without the flood",
                    worstQuietRatio(table, withoutFlood),
                    1.2));
            targets.add(Target.atLeast(
                    scenario + ": worst share of entitlement", table.mean(STANDARD, Measures::worstShare), 0.95));
        }
        return targets;
    }

    private static double worstQuietRatio(ScenarioResults withFlood, ScenarioResults withoutFlood) {
        double worst = 0;
        for (AccountLoad account : withFlood.scenario().accounts()) {
            if (account.isWithinRate()) {
                worst = Math.max(worst, accountP95(withFlood, account) / accountP95(withoutFlood, account));
            }
        }
        return worst;
    }

    private static double accountP95(ScenarioResults table, AccountLoad account) {
        return table.mean(STANDARD, measures -> {
            Map<String, Double> p95 = measures.accountP95Millis();
            return p95.get(account.name());
        });
    }

    /** Growth of the decision time from 100 endpoints and 1,000 programs to 1,700 endpoints and 17,000 programs. */
    public static Target decisionCost(long seed) {
        double small = DecisionCost.medianNanos(SMALL_ENDPOINTS, SMALL_PROGRAMS, seed);
        double large = DecisionCost.medianNanos(LARGE_ENDPOINTS, LARGE_PROGRAMS, seed);
        return Target.atMost(
                "time of a decision, 1,700 endpoints and 17,000 programs / 100 and 1,000, from " + Math.round(small)
                        + " ns",
                large / small,
                2);
    }
}
