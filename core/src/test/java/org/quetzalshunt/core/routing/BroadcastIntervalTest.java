package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class BroadcastIntervalTest {
    /** Guards against links that are closed as silent because a large fleet's loads are sent less often. */
    @ParameterizedTest
    @CsvSource({"1", "8", "41", "56", "100", "334", "1000"})
    void threeMessagesFitIntoTheSilenceAtAnySize(int vms) {
        for (boolean sameDataCentre : new boolean[] {true, false}) {
            assertThat(3 * BroadcastInterval.millis(sameDataCentre, vms - 1))
                    .isAtMost(BroadcastInterval.SILENCE_MILLIS);
        }
    }

    /** Guards against loads that are older than the work they tell of, which every VM would then send work after. */
    @ParameterizedTest
    @ValueSource(ints = {8, 41, 334})
    void peersOfTheDataCentreHearWithinATurn(int vms) {
        assertThat(BroadcastInterval.millis(true, vms - 1)).isAtMost(250);
    }
}
