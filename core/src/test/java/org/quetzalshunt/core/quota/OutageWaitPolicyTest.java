package org.quetzalshunt.core.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OutageWaitPolicyTest {
    /** Attempts of a caller for one request. */
    private static final int ATTEMPTS = 2;

    /** How often a program sends a turn that fails. */
    private static final int SENDS_PER_TURN = 3;

    private static final long PAUSE_MILLIS = 100;

    /**
     * Guards against a turn that uses up all of its attempts within an outage of the store, which loses its program.
     * With a retry delay of 900 ms, the last attempt came 3.2 s after the first, while the outage lasted seven seconds.
     */
    @ParameterizedTest
    @CsvSource({"4000, 7000", "3000, 5000"})
    void attemptsOfOneTurnOutlastAnOutage(long deadlineMillis, long outageMillis) {
        Random random = new Random(3);
        double now = 0;
        for (int send = 0; send < SENDS_PER_TURN; send++) {
            double remaining = deadlineMillis;
            for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
                long wait = OutageWaitPolicy.maximumWaitMillis((long) remaining);
                now += wait;
                remaining -= wait;
                long delay = attempt + 1 < ATTEMPTS
                        ? OutageWaitPolicy.retryAfterMillis((long) remaining, random.nextDouble())
                        : 0;
                now += delay;
                remaining -= delay;
            }
            now += PAUSE_MILLIS;
        }
        assertThat(now).isAtLeast((double) outageMillis);
    }

    @ParameterizedTest
    @CsvSource({"10000, 1200", "1200, 360", "0, 0"})
    void waitIsAFractionOfTheRemainingTimeAndBounded(long remaining, long expected) {
        assertThat(OutageWaitPolicy.maximumWaitMillis(remaining)).isEqualTo(expected);
    }
}
