package org.quetzalshunt.app.bench.scenario;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalshunt.core.decision.Policy;

/** Compares the standard policy with the baseline policies on the same arrivals in each scenario. */
final class ScenariosTest {
    private static final List<Long> SEEDS = List.of(1L, 2L);
    private static final String STANDARD = Policy.standard().name();

    /** Condition that a scenario's results must meet. {@link #plays} describes the failure that it guards against. */
    @FunctionalInterface
    private interface Expectation {
        void check(ScenarioResults table);
    }

    static Stream<Arguments> plays() {
        return Stream.of(
                // All classes send requests at once for twenty seconds, as at the start of a lesson. No account within
                // its rate may be refused, and the queue must drain without moving programs to engines that lack their
                // cached prompts.
                Arguments.of(Scenarios.burst(), expectations(fasterThan("round-robin", 0.8), noRefusalsWithinRate())),
                // Two large accounts send four fifths of the load. The small accounts must still be served in full.
                Arguments.of(
                        Scenarios.fewAccounts(),
                        expectations(fasterThan("round-robin", 0.8), noRefusalsWithinRate(), shareAtLeast(0.95))),
                // One account sends ten times its rate. The programs of other accounts must not wait behind its queue;
                // without fair shares, they take as long as the flooding account's own programs.
                Arguments.of(
                        Scenarios.flood(),
                        expectations(
                                noRefusalsWithinRate(), shareAtLeast(0.93), withinRateFasterThan("affinity-only"))),
                // An overheated GPU slows one engine to a fifth of its speed. A program that stays on it because of its
                // cached prompt takes minutes, so it must move to another engine. New programs must avoid the engine.
                Arguments.of(
                        Scenarios.slowEndpoint(),
                        expectations(fasterThan("affinity-only", 0.5), noRefusalsWithinRate())),
                // An engine crashes with all its requests, stays in the platform's VM list for ten more seconds, and
                // restarts slowly with an empty cache. No account within its rate may be refused, and programs must
                // not queue behind the restarted engine.
                Arguments.of(
                        Scenarios.lostEndpoint(),
                        expectations(fasterThan("affinity-only", 0.9), noRefusalsWithinRate())),
                // Planning programs of many long turns are mixed with quick questions. The questions must not wait for
                // the planning programs, although the scheduler cannot distinguish them in advance.
                Arguments.of(
                        Scenarios.longAmongShort(),
                        expectations(fasterThan("round-robin", 0.6), noRefusalsWithinRate())),
                // The live histories exceed the caches, so a prefix cached a minute ago may be evicted. A policy that
                // assumes that it is still cached makes programs wait without benefit.
                Arguments.of(
                        Scenarios.cacheThrash(), expectations(fasterThan("affinity-only", 1), noRefusalsWithinRate())),
                // Sixteen entries read the same load reports, up to three seconds old. If all choose the engine that
                // was reported idle, it is overloaded until the next report.
                Arguments.of(
                        Scenarios.laggingReports(),
                        expectations(fasterThan("least-loaded", 0.6), noRefusalsWithinRate())),
                // The offered load is twice the capacity for the whole run. Started programs must be completed, because
                // abandoned programs waste the work done for them and recomputed prompts consume scarce capacity.
                Arguments.of(
                        Scenarios.saturation(), expectations(goodputAtLeast(0.92), fasterThan("affinity-only", 0.9))),
                // Tool calls take from a second to ten minutes. Programs that resume must still find their cached
                // prefix.
                Arguments.of(
                        Scenarios.toolPauses(), expectations(fasterThan("round-robin", 0.9), noRefusalsWithinRate())));
    }

    @ParameterizedTest
    @MethodSource("plays")
    void standardPolicyMeetsExpectations(Scenario scenario, List<Expectation> expectations) {
        ScenarioResults table = ScenarioResults.measure(scenario, ScenarioResults.policies(), SEEDS);

        for (Expectation expectation : expectations) {
            expectation.check(table);
        }
        double recomputedRatio = table.ratio(STANDARD, "least-loaded", Measures::recomputedTokens);
        if (!scenario.equals(Scenarios.cacheThrash())) {
            assertWithMessage(scenario.name() + ": tokens computed again beside least loaded")
                    .that(recomputedRatio)
                    .isAtMost(0.35);
        }
    }

    private static List<Expectation> expectations(Expectation... expectations) {
        return List.of(expectations);
    }

    private static Expectation fasterThan(String policy, double ratio) {
        return table -> assertWithMessage(table.scenario().name() + ": program p95 beside " + policy)
                .that(table.ratio(STANDARD, policy, Measures::p95Millis))
                .isAtMost(ratio);
    }

    private static Expectation withinRateFasterThan(String policy) {
        return table -> assertWithMessage(table.scenario().name() + ": quiet accounts' p95 beside " + policy)
                .that(table.ratio(STANDARD, policy, Measures::withinRateP95Millis))
                .isAtMost(0.5);
    }

    private static Expectation noRefusalsWithinRate() {
        return table -> assertWithMessage(table.scenario().name() + ": refusals within rate")
                .that(table.statistics(STANDARD, Measures::refusalsWithinRate).getMax())
                .isEqualTo(0.0);
    }

    private static Expectation shareAtLeast(double share) {
        return table -> assertWithMessage(table.scenario().name() + ": worst share of entitlement")
                .that(table.statistics(STANDARD, Measures::worstShare).getMin())
                .isAtLeast(share);
    }

    private static Expectation goodputAtLeast(double fraction) {
        return table -> assertWithMessage(table.scenario().name() + ": goodput")
                .that(table.statistics(STANDARD, Measures::goodput).getMin())
                .isAtLeast(fraction);
    }
}
