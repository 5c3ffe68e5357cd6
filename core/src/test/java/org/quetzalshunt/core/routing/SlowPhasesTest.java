package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/** Endpoints whose streams are overdue: a step usually takes 40 ms here, so that an event is overdue after 130 ms. */
final class SlowPhasesTest {
    private static final int TOKENS_PER_EVENT = 20;
    private static final long PREFILL_TOKENS = 1_000;

    private final EndpointTable table = EndpointTable.create("a", 7, Policy.allEnabled());
    private final SlowPhases phases = table.slowPhases();

    @BeforeEach
    void measureSpeeds() {
        for (String id : List.of("e0", "e1", "e2")) {
            table.register(0, new Registration(id, "llm", "10.0.0.1:80", "a", 6, false, 0, 1));
            table.speeds().recordGeneration(id, 100, 200);
            table.speeds().recordFirstEvent(id, PREFILL_TOKENS, TOKENS_PER_EVENT, 140);
        }
        sweepUntil(0, 1_000);
    }

    private void sweepUntil(long fromMillis, long toMillis) {
        for (long now = fromMillis; now <= toMillis; now += SlowPhases.SWEEP_MILLIS) {
            phases.sweep(now);
        }
    }

    private RunningStream streamAt(long now, String id) {
        RunningStream stream = phases.start(now, id, 0, TOKENS_PER_EVENT);
        phases.onEvents(now, stream);
        return stream;
    }

    private long selectedOfHundred(long now, String id, Set<Mechanism> parts) {
        RoutingOptions options = RoutingOptions.of(parts::contains, "turns", 1_000, "");
        RoutingRequest request =
                new RoutingRequest("llm", Set.of(), List.of(), 0, EndpointLimits.inFlight(100), options);
        long selected = 0;
        for (int each = 0; each < 100; each++) {
            selected +=
                    table.select(now, request).orElseThrow().registration().id().equals(id) ? 1 : 0;
        }
        return selected;
    }

    /** Guards against new requests at an engine that has just become slow; none is ejected or cut. */
    @Test
    void newWorkAvoidsAnEndpointWhoseEventIsOverdueUntilItIsInTime() {
        RunningStream stream = streamAt(1_000, "e0");
        sweepUntil(1_050, 1_100);
        assertThat(phases.marked(1_100)).isEmpty();
        sweepUntil(1_150, 1_200);
        assertThat(phases.marked(1_200)).containsExactly("e0");
        assertThat(selectedOfHundred(1_200, "e0", Set.of(Mechanism.SLOWDOWN_DETECTION)))
                .isEqualTo(0);
        assertThat(selectedOfHundred(1_200, "e0", Set.of())).isGreaterThan(0);
        phases.onEvents(1_210, stream);
        phases.onEvents(1_250, stream);
        assertThat(phases.marked(1_260)).isEmpty();
        assertThat(selectedOfHundred(1_260, "e0", Set.of(Mechanism.SLOWDOWN_DETECTION)))
                .isGreaterThan(0);
    }

    /** Guards against a mark that stays because the endpoint gets no more streams that could end it. */
    @Test
    void markEndsByItself() {
        RunningStream stream = streamAt(1_000, "e0");
        sweepUntil(1_050, 1_200);
        phases.end(stream);
        sweepUntil(1_250, 1_600);
        assertThat(phases.marked(1_600)).isEmpty();
    }

    /** Guards against a fixed length of the mark, which is too short at one endpoint and too long at another. */
    @ParameterizedTest
    @CsvSource({"250, 250", "1000, 1000", "9000, 2000"})
    void usualLengthOfThePhasesIsLearnt(long phaseMillis, double expectedMillis) {
        long now = 1_000;
        for (int phase = 0; phase < 20; phase++) {
            RunningStream stream = streamAt(now, "e0");
            sweepUntil(now, now + phaseMillis);
            now += phaseMillis;
            phases.onEvents(now, stream);
            phases.onEvents(now + 40, stream);
            phases.end(stream);
            sweepUntil(now + 50, now + 3_000);
            now += 3_000;
        }
        assertThat(phases.usualMillis("e0")).isWithin(0.2 * expectedMillis).of(expectedMillis);
    }

    /** Guards against marks for a prompt that simply takes long, or that waits for a slot. */
    @Test
    void firstEventIsOverdueOnlyAfterThePrefillOfItsPrompt() {
        phases.start(1_000, "e0", 5 * PREFILL_TOKENS, TOKENS_PER_EVENT);
        for (int each = 0; each < 7; each++) {
            table.started("e1");
        }
        phases.start(1_000, "e1", 0, TOKENS_PER_EVENT);
        sweepUntil(1_050, 1_500);
        assertThat(phases.marked(1_500)).isEmpty();
        sweepUntil(1_550, 1_800);
        assertThat(phases.marked(1_800)).containsExactly("e0");
    }

    /** Guards against marks of all endpoints after this VM itself was stalled. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void stallOfThisVmMarksNothing(boolean eventFirst) {
        RunningStream stream = streamAt(1_000, "e0");
        if (eventFirst) {
            phases.onEvents(1_600, stream);
        }
        phases.sweep(1_600);
        sweepUntil(1_650, 1_700);
        assertThat(phases.marked(1_700)).isEmpty();
    }

    /**
     * Guards against a loss by false marks. Slow phases of 0.6 s in every 4 s; with many gateways, the effect is small,
     * since a gateway seldom has a stream at the engine that becomes slow.
     */
    @ParameterizedTest
    @CsvSource({"1, 8, 1", "8, 16, 1", "30, 32, 1", "1, 8, 2.5", "8, 16, 2.5", "30, 32, 2.5", "1, 8, 5", "30, 32, 5"})
    void turnsAreNoSlowerWithMarks(int gateways, int engines, double phaseSlowness) {
        EngineSimulation.Shape shape = new EngineSimulation.Shape(
                engines, 6, 168, 2.27, 512, 74_133, engines / (0.85 + 0.15 * phaseSlowness), gateways, 400, 1);
        double[] meanMillis = new double[2];
        for (int on = 0; on < 2; on++) {
            Set<Mechanism> parts = on == 0
                    ? Set.of(Mechanism.SPEED_SAMPLING)
                    : Set.of(Mechanism.SPEED_SAMPLING, Mechanism.SLOWDOWN_DETECTION);
            RoutingOptions options = RoutingOptions.of(parts::contains, "turns", Double.POSITIVE_INFINITY, "");
            EngineSimulation.Conditions conditions =
                    new EngineSimulation.Conditions(List.of(1.0, 1.0, 2.4), options, 10_000, phaseSlowness);
            meanMillis[on] = EngineSimulation.simulate(shape, conditions, Policy.allEnabled(), 1)
                    .meanTurnMillis();
        }
        assertWithMessage(meanMillis[1] + " ms, without marks " + meanMillis[0])
                .that(meanMillis[1])
                .isAtMost(1.05 * meanMillis[0]);
    }
}
