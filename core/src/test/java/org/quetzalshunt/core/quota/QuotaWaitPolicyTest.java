package org.quetzalshunt.core.quota;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class QuotaWaitPolicyTest {
    private static final double RATE = 8;
    private static final long TURN_MILLIS = 3_000;

    /**
     * A running program of an account of eight requests per second starts helpers and tools, so that several requests
     * arrive at once at an empty bucket. Guards against requests that are rejected, which may end the program, and
     * against waits that leave too little time to run.
     */
    @ParameterizedTest
    @CsvSource({"4", "8", "12"})
    void simultaneousRequestsOfARunningProgramAreServed(int requests) {
        TokenBucket bucket = TokenBucket.create(0);
        bucket.setLimits(0, RATE, RATE);
        long longest = 0;
        for (int request = 0; request < requests; request++) {
            TokenOffer offer = bucket.reserve(0, QuotaWaitPolicy.maximumWaitMillis(false, false, TURN_MILLIS));
            assertThat(offer.taken()).isTrue();
            longest = Math.max(longest, offer.waitMillis());
        }
        assertThat(longest).isAtMost(TURN_MILLIS / 2);
    }

    /**
     * Guards against a new program that starts when its account is already far behind its rate and makes the running
     * programs late.
     */
    @Test
    void accountFarBehindItsRateStartsNoMorePrograms() {
        TokenBucket bucket = TokenBucket.create(0);
        bucket.setLimits(0, RATE, RATE);
        for (int request = 0; request < 4; request++) {
            bucket.reserve(0, QuotaWaitPolicy.maximumWaitMillis(false, false, TURN_MILLIS));
        }
        assertThat(bucket.reserve(0, QuotaWaitPolicy.maximumWaitMillis(true, false, TURN_MILLIS))
                        .taken())
                .isFalse();
    }

    /** Guards against a start that is rejected for a momentary shortage, where a short wait is enough. */
    @Test
    void momentaryShortageDelaysStarts() {
        TokenBucket bucket = TokenBucket.create(0);
        bucket.setLimits(0, RATE, RATE);
        bucket.reserve(0, QuotaWaitPolicy.maximumWaitMillis(false, false, TURN_MILLIS));
        assertThat(bucket.reserve(0, QuotaWaitPolicy.maximumWaitMillis(true, false, TURN_MILLIS))
                        .taken())
                .isTrue();
    }

    /** Guards against urgent programs that are rejected while less urgent ones of the same account start. */
    @Test
    void urgentProgramsStartWhereLessUrgentOnesAreRejected() {
        TokenBucket bucket = TokenBucket.create(0);
        bucket.setLimits(0, RATE, RATE);
        while (bucket.reserve(0, QuotaWaitPolicy.maximumWaitMillis(true, false, TURN_MILLIS))
                .taken()) {
            assertThat(bucket.reserve(0, 0).taken()).isFalse();
        }
        assertThat(bucket.reserve(0, QuotaWaitPolicy.maximumWaitMillis(true, true, TURN_MILLIS))
                        .taken())
                .isTrue();
    }

    /**
     * An account sends several times its usual load for three seconds. Guards against starts beyond the rate that retry
     * after a tenth of a second and use up their attempts within one second, while the burst still lasts.
     */
    @ParameterizedTest
    @CsvSource({"0.0", "0.5", "1.0"})
    void retriesOfRejectedStartsOutlastABurst(double chance) {
        long sends = 3;
        long pauses = sends * 250;
        long delay = QuotaWaitPolicy.retryAfterMillis(true, 100, 4_000, chance);
        assertThat(sends * delay + pauses).isAtLeast(2_000);
        assertThat(delay).isAtMost(4_000 / 3);
    }

    @ParameterizedTest
    @CsvSource({"5, 1000", "50, 200", "500, 110"})
    void rejectedRequestsOfRunningProgramsRetryAsTokensAreEarned(double ratePerSecond, long millis) {
        assertThat(QuotaWaitPolicy.retryAfterMillis(false, ratePerSecond, 4_000, 0.5))
                .isEqualTo(millis);
    }
}
