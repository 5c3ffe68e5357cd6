package org.quetzalshunt.core.quota;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RenewalIntervalTest {
    /** After an outage one VM holds its parts, another has not read so yet: both must look again well within a second. */
    @ParameterizedTest
    @CsvSource({"false, false", "true, false", "false, true"})
    void unsettledVmLooksAgainSoon(boolean leased, boolean reachesAllLeaseHolders) {
        assertThat(RenewalInterval.nextMillis(leased, reachesAllLeaseHolders)).isAtMost(250);
    }

    @ParameterizedTest
    @CsvSource({"true, true"})
    void settledVmLooksOnceASecond(boolean leased, boolean reachesAllLeaseHolders) {
        assertThat(RenewalInterval.nextMillis(leased, reachesAllLeaseHolders)).isEqualTo(1_000);
    }
}
