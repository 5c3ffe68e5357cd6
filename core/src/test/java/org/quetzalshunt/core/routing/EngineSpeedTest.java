package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class EngineSpeedTest {
    /** Network round trip and the first step of the engine. */
    private static final long BASE_MILLIS = 15;

    private static final long PROMPT_TOKENS = 14_000;

    /**
     * Guards against an estimate that follows the fastest measurement. One prompt in twenty is unexpectedly cached, so
     * its measured prefill time is almost zero. If the estimate followed these outliers, a cache miss would seem to
     * cost nothing, and turns would be sent to engines that have not cached their prompts.
     */
    @ParameterizedTest
    @CsvSource({"100, 1", "205, 2", "800, 3"})
    void unexpectedCacheHitsDoNotInflateThePrefillSpeed(double tokensPerMilli, long seed) {
        Random random = new Random(seed);
        EngineSpeed speed = new EngineSpeed();
        for (int sample = 0; sample < 600; sample++) {
            double slowdown = 1 + 2 * random.nextDouble();
            long prefillMillis = (long) (PROMPT_TOKENS / tokensPerMilli * slowdown);
            speed.recordPrefill(PROMPT_TOKENS, BASE_MILLIS + (random.nextInt(20) == 0 ? 0 : prefillMillis));
        }
        double expected = PROMPT_TOKENS / tokensPerMilli;
        assertThat(speed.prefillMillis(PROMPT_TOKENS)).isGreaterThan(expected / 2);
        assertThat(speed.prefillMillis(PROMPT_TOKENS)).isLessThan(expected * 3);
    }
}
