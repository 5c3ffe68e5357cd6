package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.EnumSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/** Guards against herding of many gateways that see each other's loads with a delay. */
final class HerdingTest {
    private static final Policy BEST_OF_ALL = Policy.without(EnumSet.of(Mechanism.TWO_CHOICES));

    private static double meanTurnMillis(EngineSimulation.Shape shape, Policy policy) {
        return EngineSimulation.simulate(shape, policy, 1).meanTurnMillis()
                + EngineSimulation.simulate(shape, policy, 2).meanTurnMillis();
    }

    private static EngineSimulation.Shape shape(
            int engines, double programsPerSecond, int gateways, long reportMillis, int dataCentres) {
        return new EngineSimulation.Shape(
                engines, 6, 168, 2.27, 512, 74_133, programsPerSecond, gateways, reportMillis, dataCentres);
    }

    /** Guards against requests that queue at the endpoint that looks best to all gateways while others are idle. */
    @ParameterizedTest
    @CsvSource({
        "17, 24, 41, 425, 6",
        "17, 32, 41, 425, 6",
        "17, 38, 41, 425, 6",
        "17, 32, 41, 425, 1",
        "17, 32, 41, 1250, 6",
        "60, 110, 100, 500, 12"
    })
    void gatewaysDoNotHerdToTheEndpointThatLooksBest(
            int engines, double programsPerSecond, int gateways, long reportMillis, int dataCentres) {
        EngineSimulation.Shape shape = shape(engines, programsPerSecond, gateways, reportMillis, dataCentres);
        assertThat(meanTurnMillis(shape, Policy.allEnabled())).isAtMost(0.95 * meanTurnMillis(shape, BEST_OF_ALL));
    }

    @ParameterizedTest
    @CsvSource({"6, 6, 8, 250, 4", "6, 10, 8, 250, 4", "6, 10, 8, 250, 1", "3, 4, 2, 250, 1"})
    void samplingCostsLittleWithFewGateways(
            int engines, double programsPerSecond, int gateways, long reportMillis, int dataCentres) {
        EngineSimulation.Shape shape = shape(engines, programsPerSecond, gateways, reportMillis, dataCentres);
        assertThat(meanTurnMillis(shape, Policy.allEnabled())).isAtMost(1.05 * meanTurnMillis(shape, BEST_OF_ALL));
    }
}
