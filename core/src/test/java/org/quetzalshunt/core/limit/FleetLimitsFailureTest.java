package org.quetzalshunt.core.limit;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** One failure at a time, under a tenant that sends five times its rate, so that every token is used at once. */
final class FleetLimitsFailureTest {
    private static final long RATE = 50;
    private static final long BURST = 40;
    private static final double OVERLOAD = 5.0 * RATE;

    /** A failure by its name. */
    private record Failure(String name, Consumer<TestFleet> strike) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Failure> failures() {
        return Stream.of(
                new Failure("crash", fleet -> fleet.node(1).crash()),
                new Failure("restart", fleet -> fleet.node(1).restart()),
                new Failure("pause within the lease", fleet -> fleet.node(1).pause(1_000)),
                new Failure("pause past the lease", fleet -> fleet.node(1).pause(9_000)),
                new Failure("all paused past the lease", fleet -> fleet.forAll(node -> node.pause(9_000))),
                new Failure("cut from one peer", fleet -> fleet.cut(fleet.node(1), fleet.node(0))),
                new Failure("cut from all and the log", fleet -> fleet.cutOff(fleet.node(1))),
                new Failure("cut from all and paused", fleet -> {
                    fleet.cutOff(fleet.node(1));
                    fleet.node(1).pause(9_000);
                }),
                new Failure("holder of everything cut off", fleet -> {
                    fleet.traffic(2_000, OVERLOAD, time -> fleet.node(1));
                    fleet.cutOff(fleet.node(1));
                }),
                new Failure("cut from the log", fleet -> fleet.node(1).cutFromLog = true),
                new Failure("log outage", fleet -> fleet.logDown = true),
                new Failure("all restarted", fleet -> fleet.forAll(TestFleet.Node::restart)),
                new Failure("messages lost", fleet -> fleet.loss = 0.3),
                new Failure("messages doubled", fleet -> fleet.duplication = 1),
                new Failure("messages late", fleet -> fleet.lateness = 0.3),
                new Failure("rate lowered", fleet -> fleet.setLimit(10, 5)),
                new Failure("rate raised", fleet -> fleet.setLimit(100, 80)));
    }

    /**
     * A tenant sends five times its rate while one thing fails for ten seconds and then mends. At no time may it get
     * more than rate and burst, and when all is well again it must get its full rate.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("failures")
    void neverOverTheLimitAndWholeAgain(Failure failure) {
        for (int size : new int[] {3, 12}) {
            TestFleet fleet = TestFleet.started(7, size, RATE, BURST);
            overload(fleet, 3_000);
            failure.strike().accept(fleet);
            overload(fleet, 10_000);
            fleet.heal();
            fleet.loss = 0;
            fleet.duplication = 0;
            fleet.lateness = 0;
            fleet.nodes.stream().filter(node -> node.crashed).forEach(TestFleet.Node::restart);
            overload(fleet, 20_000);
            int before = fleet.windows.count();
            overload(fleet, 10_000);

            assertWithMessage("overshoot with %s entries", size)
                    .that(fleet.windows.overshootMilliTokens())
                    .isEqualTo(0);
            assertThat(fleet.brokenPromises()).isEqualTo(0);
            assertWithMessage("admitted in ten seconds with %s entries", size)
                    .that(fleet.windows.count() - before)
                    .isAtLeast((int) (fleet.rate() * 10 * 97 / 100));
        }
    }

    /**
     * One of three entries dies with a third of a tenant's rate. Callers at the others see refusals, until the dead
     * entry's part is reclaimed: at the latest a second after the lease of three seconds has run out.
     */
    @Test
    void crashCostsItsShareForTheLeaseAndASecond() {
        TestFleet fleet = TestFleet.started(3, 3, RATE, BURST);
        overload(fleet, 5_000);
        fleet.node(1).crash();
        int before = fleet.windows.count();
        spread(fleet, 4_000, OVERLOAD, 0, 2);
        int during = fleet.windows.count() - before;
        spread(fleet, 10_000, OVERLOAD, 0, 2);
        int after = fleet.windows.count() - before - during;

        assertThat(during).isAtLeast((int) (RATE * 4 / 2));
        assertThat(after).isAtLeast((int) (RATE * 10 * 95 / 100));
        assertThat(fleet.windows.overshootMilliTokens()).isEqualTo(0);
    }

    /**
     * The log is down for a minute. Callers notice nothing: entries give each other their word that nobody has heard of
     * a newer generation, and parts go on moving.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 12})
    void logOutageRefusesNobody(int size) {
        TestFleet fleet = TestFleet.started(5, size, RATE, BURST);
        fleet.logDown = true;
        fleet.traffic(60_000, RATE * 0.9, time -> fleet.node(fleet.random.nextInt(size)));

        assertThat(fleet.refusedShare()).isAtMost(0.001);
    }

    /**
     * An entry is cut off from everything but its callers, who keep sending. It stops within the lease, because it
     * cannot know whether its part has been granted to others.
     */
    @Test
    void entryCutOffFromAllStopsWithinTheLease() {
        TestFleet fleet = TestFleet.started(5, 3, RATE, BURST);
        overload(fleet, 2_000);
        fleet.cutOff(fleet.node(1));
        fleet.run(fleet.settings.leaseMillis());
        int before = fleet.windows.count();
        fleet.traffic(5_000, OVERLOAD, time -> fleet.node(1));

        assertThat(fleet.windows.count()).isEqualTo(before);
    }

    /**
     * A planned stop: the leaving entry hands its part to its peers and has it acknowledged, so that the tenant loses
     * nothing when the process ends, without any wait for a lease.
     */
    @Test
    void leavingEntryHandsOverItsPart() {
        TestFleet fleet = TestFleet.started(5, 3, RATE, BURST);
        overload(fleet, 2_000);
        TestFleet.Node leaver = fleet.node(1);
        leaver.limits.leaving(leaver.local());
        spread(fleet, 500, OVERLOAD, 0, 2);
        boolean handedOver = leaver.limits.handedOver();
        leaver.crash();
        int before = fleet.windows.count();
        spread(fleet, 4_000, OVERLOAD, 0, 2);

        assertThat(handedOver).isTrue();
        assertThat(fleet.windows.count() - before).isAtLeast((int) (RATE * 4 * 95 / 100));
    }

    /**
     * A tenant drains its burst, its bucket fills up again, and then the requests of the drained burst are refused by a
     * full queue. Their tokens must not come back on top of the full bucket.
     */
    @Test
    void givenBackTokensNeverExceedTheBurst() {
        TestFleet fleet = TestFleet.started(5, 1, RATE, BURST);
        TestFleet.Node node = fleet.node(0);
        List<Take.Taken> taken = Stream.generate(
                        () -> node.limits.take(node.local(), TestFleet.SERVICE, TestFleet.ACCOUNT, outcome -> {}))
                .limit(BURST)
                .map(Take.Taken.class::cast)
                .toList();
        fleet.run(10_000);
        taken.forEach(token -> node.limits.giveBack(TestFleet.SERVICE, TestFleet.ACCOUNT, token.moment()));
        for (int count = 0; count < 3 * BURST; count++) {
            node.request();
        }

        assertThat(fleet.windows.overshootMilliTokens()).isEqualTo(0);
    }

    private static void overload(TestFleet fleet, long millis) {
        fleet.traffic(millis, OVERLOAD, time -> fleet.node(fleet.random.nextInt(fleet.nodes.size())));
    }

    private static void spread(TestFleet fleet, long millis, double perSecond, int one, int other) {
        fleet.traffic(millis, perSecond, time -> fleet.node(fleet.random.nextBoolean() ? one : other));
    }
}
