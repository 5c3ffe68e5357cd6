package org.quetzalshunt.app.bench.scenario;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalshunt.core.decision.Policy;
import org.quetzalshunt.core.decision.endpoint.EndpointRules;
import org.quetzalshunt.core.decision.endpoint.PlainChoices;
import org.quetzalshunt.core.decision.endpoint.RoomRule;
import org.quetzalshunt.core.decision.queue.WorkCharge;

/**
 * Verifies that each scenario detects the removal of the scheduling rule that it covers: without the rule, the measure
 * of the scenario must increase by a given factor.
 */
final class RuleMutationsTest {
    private static final List<Long> SEEDS = List.of(1L, 2L);
    private static final Policy STANDARD = Policy.standard();
    private static final EndpointRules RULES = EndpointRules.adaptive();

    static Stream<Arguments> mutations() {
        ToDoubleFunction<Measures> withinRateP95 = Measures::withinRateP95Millis;
        return Stream.of(
                // Work is not charged to accounts: accounts within their rate wait behind the flooding account.
                Arguments.of(
                        "no fair shares",
                        Scenarios.flood(),
                        STANDARD.withCharge(WorkCharge.nothing()),
                        withinRateP95,
                        1.3),
                // No capacity is reserved for programs in progress: their prompts are computed again on other engines.
                Arguments.of(
                        "equal room",
                        Scenarios.saturation(),
                        STANDARD.withRules(RULES.withRoom(RoomRule.equal())),
                        (ToDoubleFunction<Measures>) Measures::recomputedTokens,
                        1.5),
                // Endpoints have no concurrency limit: all answers slow down, including those of accounts within their
                // rate.
                Arguments.of(
                        "no limit",
                        Scenarios.flood(),
                        STANDARD.withRules(RULES.withRoom(RoomRule.unlimited())),
                        withinRateP95,
                        1.3),
                // The endpoint choice ignores speed and load: programs stay on the slow engine.
                Arguments.of(
                        "affinity only",
                        Scenarios.slowEndpoint(),
                        STANDARD.withChoice(dataCentre -> PlainChoices.affinityOnly()),
                        (ToDoubleFunction<Measures>) Measures::p95Millis,
                        2.0),
                // The endpoint choice ignores caches: histories are computed again.
                Arguments.of(
                        "least loaded",
                        Scenarios.longAmongShort(),
                        STANDARD.withChoice(dataCentre -> PlainChoices.leastLoaded()),
                        (ToDoubleFunction<Measures>) Measures::recomputedTokens,
                        3.0));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("mutations")
    void measureDegradesWithoutTheRule(
            String rule, Scenario scenario, Policy mutated, ToDoubleFunction<Measures> measure, double factor) {
        ScenarioResults results = ScenarioResults.measure(scenario, List.of(STANDARD, mutated.named(rule)), SEEDS);

        assertWithMessage(rule)
                .that(results.mean(rule, measure))
                .isGreaterThan(factor * results.mean(STANDARD.name(), measure));
    }
}
