package org.quetzalshunt.core.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OutageWaitPolicyTest {
    /** Tries of one request of a caller, and how often a program sends a failed turn, as callers do it. */
    private static final int TRIES = 2;

    private static final int SENDS = 3;
    private static final long PAUSE_MILLIS = 100;

    /**
     * The shared map is away for seven seconds. A turn that is sent at its beginning is tried until the caller's tries are
     * used up; called back after 900 ms each time, the last of them came 3.2 s after the first, and its program was lost.
     */
    @ParameterizedTest
    @CsvSource({"4000, 7000", "3000, 5000"})
    void triesOfOneTurnReachOverAnOutage(long deadlineMillis, long outageMillis) {
        Random random = new Random(3);
        double now = 0;
        for (int send = 0; send < SENDS; send++) {
            double left = deadlineMillis;
            for (int attempt = 0; attempt < TRIES; attempt++) {
                long wait = OutageWaitPolicy.maximumWaitMillis((long) left);
                now += wait;
                left -= wait;
                long back =
                        attempt + 1 < TRIES ? OutageWaitPolicy.retryAfterMillis((long) left, random.nextDouble()) : 0;
                now += back;
                left -= back;
            }
            now += PAUSE_MILLIS;
        }
        assertThat(now).isAtLeast((double) outageMillis);
    }

    @ParameterizedTest
    @CsvSource({"10000, 1200", "1200, 360", "0, 0"})
    void waitIsPartOfTheTimeAndBelowWhatStreamsBear(long left, long most) {
        assertThat(OutageWaitPolicy.maximumWaitMillis(left)).isEqualTo(most);
    }
}
