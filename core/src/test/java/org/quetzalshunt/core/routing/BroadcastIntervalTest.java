package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class BroadcastIntervalTest {
    /** Guards against links that are closed by the peer timeout because a large fleet reports its loads less often. */
    @ParameterizedTest
    @CsvSource({"1", "8", "41", "56", "100", "334", "1000"})
    void threeMessagesFitIntoThePeerTimeoutAtAnyFleetSize(int vms) {
        for (boolean sameDataCentre : new boolean[] {true, false}) {
            assertThat(3 * BroadcastInterval.millis(sameDataCentre, vms - 1))
                    .isAtMost(BroadcastInterval.PEER_TIMEOUT_MILLIS);
        }
    }

    /**
     * Guards against load reports that are older than the running requests, which would make all VMs send to the same
     * endpoint.
     */
    @ParameterizedTest
    @ValueSource(ints = {8, 41, 334})
    void peersInTheSameDataCentreGetLoadsWithinATurn(int vms) {
        assertThat(BroadcastInterval.millis(true, vms - 1)).isAtMost(250);
    }
}
