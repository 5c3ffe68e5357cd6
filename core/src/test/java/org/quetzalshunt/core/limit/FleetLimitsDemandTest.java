package org.quetzalshunt.core.limit;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tokens and rate follow demand: a tenant within its rate is refused hardly ever, wherever its callers arrive. */
final class FleetLimitsDemandTest {
    private static final double MOST_REFUSED = 0.001;

    /**
     * All of a tenant's callers reach one entry, at its full rate. Refusals would show if that entry had to live with
     * its own share of the rate.
     */
    @ParameterizedTest(name = "{0} entries, rate {1}, burst {2}")
    @CsvSource({"3, 100, 20", "12, 100, 20", "12, 100, 200", "12, 10, 5", "12, 1000, 100", "3, 2, 2"})
    void allTrafficOnOneEntry(int size, long rate, long burst) {
        TestFleet fleet = TestFleet.started(11, size, rate, burst);
        fleet.traffic(120_000, (double) rate, time -> fleet.node(size - 1));

        assertThat(fleet.refusedShare()).isAtMost(MOST_REFUSED);
        assertThat(fleet.windows.overshootMilliTokens()).isEqualTo(0);
    }

    /**
     * The balancer moves a tenant's callers to another entry each second. Refusals would show if tokens stayed with the
     * entry that traffic has left.
     */
    @ParameterizedTest(name = "{0} entries, rate {1}, burst {2}")
    @CsvSource({"3, 100, 20", "12, 100, 20", "12, 100, 200", "12, 10, 5", "12, 1000, 100", "3, 2, 2"})
    void trafficMovesEachSecond(int size, long rate, long burst) {
        TestFleet fleet = TestFleet.started(11, size, rate, burst);
        fleet.traffic(120_000, rate * 0.95, time -> fleet.node((int) (time / 1_000 * 7 % size)));

        assertThat(fleet.refusedShare()).isAtMost(MOST_REFUSED);
        assertThat(fleet.windows.overshootMilliTokens()).isEqualTo(0);
    }

    /** A tenant's callers reach every entry alike, as behind a balancer that picks at random. */
    @ParameterizedTest(name = "{0} entries, rate {1}, burst {2}")
    @CsvSource({"3, 100, 20", "12, 100, 20", "12, 10, 5", "12, 1000, 100"})
    void trafficSpreadEvenly(int size, long rate, long burst) {
        TestFleet fleet = TestFleet.started(11, size, rate, burst);
        fleet.traffic(120_000, rate * 0.95, time -> fleet.node(fleet.random.nextInt(size)));

        assertThat(fleet.refusedShare()).isAtMost(MOST_REFUSED);
        assertThat(fleet.windows.overshootMilliTokens()).isEqualTo(0);
    }
}
