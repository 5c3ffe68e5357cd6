package org.quetzalshunt.core.limit;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tokens and rate follow demand: a tenant within its rate is almost never refused, whichever entries its callers reach.
 */
final class FleetLimitsDemandTest {
    private static final double MAXIMUM_REFUSED_FRACTION = 0.001;

    /**
     * All of a tenant's callers reach one entry, at the full rate. Guards against refusals by an entry that gets only
     * its own share of the rate.
     */
    @ParameterizedTest(name = "{0} entries, rate {1}, burst {2}")
    @CsvSource({"3, 100, 20", "12, 100, 20", "12, 100, 200", "12, 10, 5", "12, 1000, 100", "3, 2, 2"})
    void trafficToOneEntryGetsTheFullRate(int size, long rate, long burst) {
        TestFleet fleet = TestFleet.started(11, size, rate, burst);
        fleet.traffic(120_000, (double) rate, time -> fleet.node(size - 1));

        assertThat(fleet.refusedFraction()).isAtMost(MAXIMUM_REFUSED_FRACTION);
        assertThat(fleet.windows.overshootMilliTokens()).isEqualTo(0);
    }

    /**
     * The balancer moves a tenant's callers to another entry each second. Guards against refusals because tokens stay
     * at the entry that no longer receives traffic.
     */
    @ParameterizedTest(name = "{0} entries, rate {1}, burst {2}")
    @CsvSource({"3, 100, 20", "12, 100, 20", "12, 100, 200", "12, 10, 5", "12, 1000, 100", "3, 2, 2"})
    void trafficThatMovesEachSecondGetsTheFullRate(int size, long rate, long burst) {
        TestFleet fleet = TestFleet.started(11, size, rate, burst);
        fleet.traffic(120_000, rate * 0.95, time -> fleet.node((int) (time / 1_000 * 7 % size)));

        assertThat(fleet.refusedFraction()).isAtMost(MAXIMUM_REFUSED_FRACTION);
        assertThat(fleet.windows.overshootMilliTokens()).isEqualTo(0);
    }

    /** A tenant's callers reach all entries equally, as behind a balancer that chooses at random. */
    @ParameterizedTest(name = "{0} entries, rate {1}, burst {2}")
    @CsvSource({"3, 100, 20", "12, 100, 20", "12, 10, 5", "12, 1000, 100"})
    void evenTrafficGetsTheFullRate(int size, long rate, long burst) {
        TestFleet fleet = TestFleet.started(11, size, rate, burst);
        fleet.traffic(120_000, rate * 0.95, time -> fleet.node(fleet.random.nextInt(size)));

        assertThat(fleet.refusedFraction()).isAtMost(MAXIMUM_REFUSED_FRACTION);
        assertThat(fleet.windows.overshootMilliTokens()).isEqualTo(0);
    }
}
