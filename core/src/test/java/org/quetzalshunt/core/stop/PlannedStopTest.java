package org.quetzalshunt.core.stop;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Admission of requests during a planned stop. */
final class PlannedStopTest {
    private static final long BALANCER_REMOVAL_MILLIS = 2_000;
    private static final long SERVE_MILLIS = 7_000;

    /** Guards against a request that is run late in a stop, although the process may end before it. */
    @ParameterizedTest
    @CsvSource({
        "0, 60000, true",
        "1999, 60000, true",
        "2000, 7000, true",
        "2000, 7001, false",
        "6900, 6950, true",
        "6900, 7900, false",
    })
    void requestThatMayOutlastTheStopIsNotAdmittedLate(long sinceStopMillis, long deadlineMillis, boolean admitted) {
        PlannedStop stop = PlannedStop.create(BALANCER_REMOVAL_MILLIS, SERVE_MILLIS);
        stop.begin(1_000);

        assertThat(stop.admits(1_000 + sinceStopMillis, 1_000 + deadlineMillis)).isEqualTo(admitted);
    }
}
