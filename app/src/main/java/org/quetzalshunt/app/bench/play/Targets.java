package org.quetzalshunt.app.bench.play;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.quetzalshunt.core.decision.Policy;

/** Works out which figures a run of the plays reached. */
public final class Targets {
    private static final int SMALL_ENDPOINTS = 100;
    private static final int SMALL_PROGRAMS = 1_000;
    private static final int LARGE_ENDPOINTS = 1_700;
    private static final int LARGE_PROGRAMS = 17_000;

    private static final String OURS = Policy.standard().name();
    private static final String ROUND_ROBIN = Policy.roundRobin().name();
    private static final String LEAST_LOADED = Policy.leastLoaded().name();

    private Targets() {}

    /** The figures that concern one play. */
    public static List<Target> of(PlayTable table, List<Long> seeds) {
        List<Target> targets = new ArrayList<>();
        String play = table.play().name();
        // Beside a flood the flooding account's own programs are meant to wait, so they do not count.
        boolean flood = table.play().equals(Plays.flood());
        ToDoubleFunction<Measures> p95 = flood ? Measures::withinRateP95Millis : Measures::p95Millis;
        String whose = flood ? ": program p95 within rate / " : ": program p95 / ";
        for (String other : table.names()) {
            if (!other.equals(OURS)) {
                targets.add(Target.atMost(play + whose + other, table.ratio(OURS, other, p95), 1));
            }
        }
        targets.add(Target.atMost(
                play + ": tokens computed again / least-loaded",
                table.ratio(OURS, LEAST_LOADED, Measures::recomputedTokens),
                0.35));
        if (table.play().equals(Plays.saturation())) {
            targets.add(Target.atLeast(play + ": goodput / capacity", table.mean(OURS, Measures::goodput), 0.95));
        } else {
            targets.add(
                    Target.atMost(play + ": refusals within rate", table.mean(OURS, Measures::refusalsWithinRate), 0));
        }
        if (table.play().equals(Plays.longAmongShort())) {
            targets.add(Target.atMost(
                    play + ": program p95 / round-robin, to 0.6",
                    table.ratio(OURS, ROUND_ROBIN, Measures::p95Millis),
                    0.6));
        }
        if (flood) {
            PlayTable alone = PlayTable.measure(Plays.floodBy(0), List.of(Policy.standard()), seeds);
            targets.add(Target.atMost(
                    play + ": quiet accounts' p95 together / without the flood",
                    table.mean(OURS, Measures::withinRateP95Millis) / alone.mean(OURS, Measures::withinRateP95Millis),
                    1.2));
            targets.add(Target.atMost(
                    play + ": worst single quiet account's p95 / without the flood",
                    worstQuietRatio(table, alone),
                    1.2));
            targets.add(Target.atLeast(
                    play + ": worst share of entitlement", table.mean(OURS, Measures::worstShare), 0.95));
        }
        return targets;
    }

    private static double worstQuietRatio(PlayTable flooded, PlayTable alone) {
        double worst = 0;
        for (AccountLoad account : flooded.play().accounts()) {
            if (account.withinRate()) {
                worst = Math.max(worst, accountP95(flooded, account) / accountP95(alone, account));
            }
        }
        return worst;
    }

    private static double accountP95(PlayTable table, AccountLoad account) {
        return table.mean(OURS, measures -> {
            Map<String, Double> p95 = measures.accountP95Millis();
            return p95.get(account.name());
        });
    }

    /** Growth of a decision's time from 100 endpoints and 1,000 programs to 1,700 and 17,000. */
    public static Target decisionCost(long seed) {
        double small = DecisionCost.nanos(SMALL_ENDPOINTS, SMALL_PROGRAMS, seed);
        double large = DecisionCost.nanos(LARGE_ENDPOINTS, LARGE_PROGRAMS, seed);
        return Target.atMost(
                "time of a decision, 1,700 endpoints and 17,000 programs / 100 and 1,000, from " + Math.round(small)
                        + " ns",
                large / small,
                2);
    }
}
