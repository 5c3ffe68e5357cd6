package org.quetzalshunt.core.share;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RenewalPaceTest {
    /** After an outage one VM holds its parts, another has not read so yet: both must look again well within a second. */
    @ParameterizedTest
    @CsvSource({"false, false", "true, false", "false, true"})
    void unsettledVmLooksAgainSoon(boolean leased, boolean reachesHolders) {
        assertThat(RenewalPace.nextMillis(leased, reachesHolders)).isAtMost(250);
    }

    @ParameterizedTest
    @CsvSource({"true, true"})
    void settledVmLooksOnceASecond(boolean leased, boolean reachesHolders) {
        assertThat(RenewalPace.nextMillis(leased, reachesHolders)).isEqualTo(1_000);
    }
}
