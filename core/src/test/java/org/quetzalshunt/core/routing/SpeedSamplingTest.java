package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/** Guards against turns on slow engines while fast ones have free slots, compared with two choices without speeds. */
final class SpeedSamplingTest {
    private static final double PROGRAMS_PER_SECOND_AT_FULL_LOAD = 2.2;
    private static final RoutingOptions BY_SPEED = RoutingOptions.of(
            mechanism -> mechanism == Mechanism.SPEED_SAMPLING, "turns", Double.POSITIVE_INFINITY, "");

    /**
     * Simulates engines of unequal speed at 70% of their capacity.
     *
     * @param slowness time per token of the engines in turn, separated by spaces
     */
    private static EngineSimulation.Result simulate(
            int gateways, int engines, String slowness, RoutingOptions options) {
        List<Double> times =
                Arrays.stream(slowness.split(" ")).map(Double::valueOf).toList();
        double meanSpeed =
                times.stream().mapToDouble(time -> 1 / time).average().orElseThrow();
        EngineSimulation.Shape shape = new EngineSimulation.Shape(
                engines,
                6,
                168,
                2.27,
                512,
                74_133,
                0.7 * PROGRAMS_PER_SECOND_AT_FULL_LOAD * engines * meanSpeed,
                gateways,
                400,
                1);
        long arrivalMillis = gateways > 100 ? 6_000 : 10_000;
        EngineSimulation.Conditions conditions = new EngineSimulation.Conditions(times, options, arrivalMillis);
        return EngineSimulation.simulate(shape, conditions, Policy.allEnabled(), 1);
    }

    /**
     * The bound is that of docs/LOAD-CONTROL.md for 30 and 300 gateways. With one or eight gateways, two choices know
     * the loads well enough to avoid slow engines, and the bound of 1.05 guards against a loss.
     */
    @ParameterizedTest
    @CsvSource({
        "1, 8, 1 1 2.4, 1.05",
        "8, 16, 1 1 2.4, 1.0",
        "30, 32, 1 1 2.4, 0.7",
        "300, 30, 1 1 2.4, 0.7",
        "1, 8, 1 10, 0.7",
        "8, 16, 1 10, 0.7",
        "30, 32, 1 10, 0.7",
        "300, 30, 1 10, 0.7",
        "1, 8, 1, 1.05",
        "8, 16, 1, 1.05",
        "30, 32, 1, 1.05",
        "300, 30, 1, 1.05"
    })
    void fewerTurnsAreLateOnSlowEngines(int gateways, int engines, String slowness, double bound) {
        EngineSimulation.Result plain = simulate(gateways, engines, slowness, RoutingOptions.OFF);
        EngineSimulation.Result bySpeed = simulate(gateways, engines, slowness, BY_SPEED);
        assertWithMessage(bySpeed + ", two choices " + plain)
                .that(bySpeed.p95TurnMillis())
                .isAtMost(bound * plain.p95TurnMillis());
        assertWithMessage(bySpeed + ", two choices " + plain)
                .that(bySpeed.meanTurnMillis())
                .isAtMost(1.05 * plain.meanTurnMillis());
    }
}
