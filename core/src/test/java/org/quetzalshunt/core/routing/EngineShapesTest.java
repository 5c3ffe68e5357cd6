package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.EnumSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/**
 * Guards against an endpoint selection that is tuned to one kind of engine. The cases cover slow and fast prefill, few
 * and many slots, no and long common prompts, and caches for a few prompts or for all. In each case the mean turn must
 * take at most 5% longer than with selection by load alone, and no more tokens may be prefilled.
 */
final class EngineShapesTest {
    private static final double TOLERANCE = 1.05;
    private static final int SEEDS = 3;

    @ParameterizedTest
    @CsvSource({
        "6, 48, 205, 1.27, 12600, 1181151, 20",
        "6, 48, 100, 2.5, 12600, 1181151, 8",
        "6, 48, 600, 0.5, 12600, 1181151, 40",
        "6, 8, 168, 2.27, 512, 90416, 6",
        "6, 64, 205, 1.27, 20000, 300000, 10",
        "6, 4, 205, 1.27, 4000, 100000, 6",
        "6, 16, 205, 1.27, 0, 1000000, 20",
        "24, 12, 205, 1.27, 12600, 387797, 50",
        "2, 48, 205, 1.27, 12600, 1181151, 5"
    })
    void turnsAreNoSlowerThanWithSelectionByLoadAlone(
            int engines,
            int slots,
            double readTokensPerMilli,
            double stepMillis,
            long commonTokens,
            long memoryTokens,
            double programsPerSecond) {
        EngineSimulation.Shape shape = EngineSimulation.Shape.sixGateways(
                engines, slots, readTokensPerMilli, stepMillis, commonTokens, memoryTokens, programsPerSecond);
        Policy plain = Policy.without(EnumSet.of(
                Mechanism.PREFIX_AFFINITY,
                Mechanism.SHARED_PREFIX_LOCATIONS,
                Mechanism.PREFIX_PLACEMENT,
                Mechanism.PREFILL_BACKLOG,
                Mechanism.TOKEN_RATE));
        double wholeMillis = 0;
        double plainMillis = 0;
        long wholeTokensRead = 0;
        long plainTokensRead = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            EngineSimulation.Result wholeResult = EngineSimulation.simulate(shape, Policy.allEnabled(), seed);
            EngineSimulation.Result plainResult = EngineSimulation.simulate(shape, plain, seed);
            wholeMillis += wholeResult.meanTurnMillis();
            plainMillis += plainResult.meanTurnMillis();
            wholeTokensRead += wholeResult.tokensRead();
            plainTokensRead += plainResult.tokensRead();
        }
        String figures = shape + ": " + wholeMillis / SEEDS + " ms, by load " + plainMillis / SEEDS + " ms; read "
                + wholeTokensRead + ", " + plainTokensRead;
        assertWithMessage(figures).that(wholeMillis).isAtMost(TOLERANCE * plainMillis);
        assertWithMessage(figures).that(wholeTokensRead).isAtMost(plainTokensRead);
    }
}
