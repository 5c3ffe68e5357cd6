package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.EnumSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/**
 * The choice of engines must fit engines that nobody has seen yet: slow and fast readers, few and many slots, no common
 * prompts and long ones, memory for a few prompts and for all. Score to reach: turns as fast as those of the plain choice
 * by load, or faster, in every shape, and no more tokens read.
 */
final class EngineShapesTest {
    private static final double EVEN = 1.05;
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
    void turnsAreNoSlowerThanByLoadAlone(
            int engines,
            int slots,
            double readTokensPerMilli,
            double stepMillis,
            long commonTokens,
            long memoryTokens,
            double programsPerSecond) {
        EnginePlay.Shape shape = EnginePlay.Shape.few(
                engines, slots, readTokensPerMilli, stepMillis, commonTokens, memoryTokens, programsPerSecond);
        Policy plain = Policy.without(EnumSet.of(
                Mechanism.PREFIX_AFFINITY,
                Mechanism.SHARED_PREFIX_LOCATIONS,
                Mechanism.PREFIX_PLACEMENT,
                Mechanism.PREFILL_BACKLOG,
                Mechanism.TOKEN_RATE));
        double whole = 0;
        double byLoad = 0;
        long read = 0;
        long readByLoad = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            EnginePlay.Result ours = EnginePlay.play(shape, Policy.whole(), seed);
            EnginePlay.Result theirs = EnginePlay.play(shape, plain, seed);
            whole += ours.meanTurnMillis();
            byLoad += theirs.meanTurnMillis();
            read += ours.tokensRead();
            readByLoad += theirs.tokensRead();
        }
        String figures = shape + ": " + whole / SEEDS + " ms, by load " + byLoad / SEEDS + " ms; read " + read + ", "
                + readByLoad;
        assertWithMessage(figures).that(whole).isAtMost(EVEN * byLoad);
        assertWithMessage(figures).that(read).isAtMost(readByLoad);
    }
}
