package org.quetzalshunt.app.bench.play;

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

/** Each rule taken out in turn: callers must get clearly less, or the rule's play would not show that it works. */
final class RuleMutationsTest {
    private static final List<Long> SEEDS = List.of(1L, 2L);
    private static final Policy OURS = Policy.standard();
    private static final EndpointRules RULES = EndpointRules.adaptive();

    static Stream<Arguments> mutations() {
        ToDoubleFunction<Measures> quietP95 = Measures::withinRateP95Millis;
        return Stream.of(
                // Accounts are not told apart: the quiet ones wait behind the flood.
                Arguments.of("no fair shares", Plays.flood(), OURS.withCharge(WorkCharge.nothing()), quietP95, 1.3),
                // No room is kept for programs in progress: their prompts are computed again on other engines.
                Arguments.of(
                        "equal room",
                        Plays.saturation(),
                        OURS.withRules(RULES.withRoom(RoomRule.equal())),
                        (ToDoubleFunction<Measures>) Measures::recomputedTokens,
                        1.5),
                // Endpoints have no limit: every answer slows down, and quiet accounts with it.
                Arguments.of(
                        "no limit", Plays.flood(), OURS.withRules(RULES.withRoom(RoomRule.unlimited())), quietP95, 1.3),
                // The choice sees no speed and no load: programs stay with the slow engine.
                Arguments.of(
                        "affinity only",
                        Plays.slowEndpoint(),
                        OURS.withChoice(dataCentre -> PlainChoices.affinityOnly()),
                        (ToDoubleFunction<Measures>) Measures::p95Millis,
                        2.0),
                // The choice sees no cache: histories are computed again.
                Arguments.of(
                        "least loaded",
                        Plays.longAmongShort(),
                        OURS.withChoice(dataCentre -> PlainChoices.leastLoaded()),
                        (ToDoubleFunction<Measures>) Measures::recomputedTokens,
                        3.0));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("mutations")
    void callersGetLessWithoutTheRule(
            String rule, Play play, Policy mutated, ToDoubleFunction<Measures> measure, double factor) {
        PlayTable table = PlayTable.measure(play, List.of(OURS, mutated.named(rule)), SEEDS);

        assertWithMessage(rule)
                .that(table.mean(rule, measure))
                .isGreaterThan(factor * table.mean(OURS.name(), measure));
    }
}
