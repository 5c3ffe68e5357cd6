package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class EngineSpeedTest {
    /** Both ways, and the engine's first step. */
    private static final long BASE_MILLIS = 15;

    private static final long PROMPT_TOKENS = 14_000;

    /**
     * One prompt in twenty is held by its engine although its gateway had no word of it, and its answer begins at once. A
     * speed that believed in the fastest reading took reading for nearly free, and sent turns away from their prompts.
     */
    @ParameterizedTest
    @CsvSource({"100, 1", "205, 2", "800, 3"})
    void promptHeldAgainstExpectationDoesNotSpoilTheSpeed(double tokensPerMilli, long seed) {
        Random random = new Random(seed);
        EngineSpeed speed = new EngineSpeed();
        for (int reading = 0; reading < 600; reading++) {
            double shared = 1 + 2 * random.nextDouble();
            long took = (long) (PROMPT_TOKENS / tokensPerMilli * shared);
            speed.read(PROMPT_TOKENS, BASE_MILLIS + (random.nextInt(20) == 0 ? 0 : took));
        }
        double expected = PROMPT_TOKENS / tokensPerMilli;
        assertThat(speed.readMillis(PROMPT_TOKENS)).isGreaterThan(expected / 2);
        assertThat(speed.readMillis(PROMPT_TOKENS)).isLessThan(expected * 3);
    }
}
