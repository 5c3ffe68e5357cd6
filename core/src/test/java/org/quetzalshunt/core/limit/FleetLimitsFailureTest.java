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

/** One fault at a time, under a tenant that sends five times its rate, so that every token is used at once. */
final class FleetLimitsFailureTest {
    private static final long RATE = 50;
    private static final long BURST = 40;
    private static final double OVERLOAD = 5.0 * RATE;

    /** A named fault. */
    private record Failure(String name, Consumer<TestFleet> injectFault) {
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
                new Failure("cut from one peer", fleet -> fleet.cutLink(fleet.node(1), fleet.node(0))),
                new Failure("cut from all and the log", fleet -> fleet.isolate(fleet.node(1))),
                new Failure("cut from all and paused", fleet -> {
                    fleet.isolate(fleet.node(1));
                    fleet.node(1).pause(9_000);
                }),
                new Failure("holder of everything cut off", fleet -> {
                    fleet.traffic(2_000, OVERLOAD, time -> fleet.node(1));
                    fleet.isolate(fleet.node(1));
                }),
                new Failure("cut from the log", fleet -> fleet.node(1).cutFromLog = true),
                new Failure("log outage", fleet -> fleet.logDown = true),
                new Failure("all restarted", fleet -> fleet.forAll(TestFleet.Node::restart)),
                new Failure("messages lost", fleet -> fleet.lossProbability = 0.3),
                new Failure("messages doubled", fleet -> fleet.duplicationProbability = 1),
                new Failure("messages late", fleet -> fleet.delayProbability = 0.3),
                new Failure("rate lowered", fleet -> fleet.setLimit(10, 5)),
                new Failure("rate raised", fleet -> fleet.setLimit(100, 80)));
    }

    /**
     * A tenant sends five times its rate while one fault lasts for ten seconds. Guards against more requests than rate
     * and burst at any time, and against a tenant that does not get its full rate again after the fault is repaired.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("failures")
    void limitHoldsDuringAFaultAndFullRateReturns(Failure failure) {
        for (int size : new int[] {3, 12}) {
            TestFleet fleet = TestFleet.started(7, size, RATE, BURST);
            overload(fleet, 3_000);
            failure.injectFault().accept(fleet);
            overload(fleet, 10_000);
            fleet.heal();
            fleet.lossProbability = 0;
            fleet.duplicationProbability = 0;
            fleet.delayProbability = 0;
            fleet.nodes.stream().filter(node -> node.crashed).forEach(TestFleet.Node::restart);
            overload(fleet, 20_000);
            int before = fleet.windows.count();
            overload(fleet, 10_000);

            assertWithMessage("overshoot with %s entries", size)
                    .that(fleet.windows.overshootMilliTokens())
                    .isEqualTo(0);
            assertThat(fleet.invariantViolations()).isEqualTo(0);
            assertWithMessage("admitted in ten seconds with %s entries", size)
                    .that(fleet.windows.count() - before)
                    .isAtLeast((int) (fleet.rate() * 10 * 97 / 100));
        }
    }

    /**
     * One of three entries crashes with a third of a tenant's rate. Callers at the others are refused until the crashed
     * entry's parts are reclaimed, at the latest one second after the lease of three seconds has expired.
     */
    @Test
    void crashCostsItsShareForAtMostTheLeaseAndASecond() {
        TestFleet fleet = TestFleet.started(3, 3, RATE, BURST);
        overload(fleet, 5_000);
        fleet.node(1).crash();
        int before = fleet.windows.count();
        trafficToEither(fleet, 4_000, OVERLOAD, 0, 2);
        int during = fleet.windows.count() - before;
        trafficToEither(fleet, 10_000, OVERLOAD, 0, 2);
        int after = fleet.windows.count() - before - during;

        assertThat(during).isAtLeast((int) (RATE * 4 / 2));
        assertThat(after).isAtLeast((int) (RATE * 10 * 95 / 100));
        assertThat(fleet.windows.overshootMilliTokens()).isEqualTo(0);
    }

    /**
     * The log is unavailable for a minute. Guards against refusals in that time: the entries confirm to each other that
     * no newer generation is known, and continue to transfer parts.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 12})
    void logOutageRefusesNoRequest(int size) {
        TestFleet fleet = TestFleet.started(5, size, RATE, BURST);
        fleet.logDown = true;
        fleet.traffic(60_000, RATE * 0.9, time -> fleet.node(fleet.random.nextInt(size)));

        assertThat(fleet.refusedFraction()).isAtMost(0.001);
    }

    /**
     * An entry is isolated from all others and the log while its callers keep sending. It must stop admitting requests
     * within the lease, because it cannot know whether its parts have been granted to others.
     */
    @Test
    void isolatedEntryStopsWithinTheLease() {
        TestFleet fleet = TestFleet.started(5, 3, RATE, BURST);
        overload(fleet, 2_000);
        fleet.isolate(fleet.node(1));
        fleet.run(fleet.settings.leaseMillis());
        int before = fleet.windows.count();
        fleet.traffic(5_000, OVERLOAD, time -> fleet.node(1));

        assertThat(fleet.windows.count()).isEqualTo(before);
    }

    /**
     * An entry shuts down gracefully. It must transfer its parts to its peers and receive the acknowledgements, so that
     * the tenant loses no rate when the process ends, without a wait for a lease.
     */
    @Test
    void leavingEntryTransfersItsParts() {
        TestFleet fleet = TestFleet.started(5, 3, RATE, BURST);
        overload(fleet, 2_000);
        TestFleet.Node leavingNode = fleet.node(1);
        leavingNode.limits.startLeaving(leavingNode.local());
        trafficToEither(fleet, 500, OVERLOAD, 0, 2);
        boolean handedOver = leavingNode.limits.isHandoverComplete();
        leavingNode.crash();
        int before = fleet.windows.count();
        trafficToEither(fleet, 4_000, OVERLOAD, 0, 2);

        assertThat(handedOver).isTrue();
        assertThat(fleet.windows.count() - before).isAtLeast((int) (RATE * 4 * 95 / 100));
    }

    /**
     * A tenant drains its burst, its bucket refills, and then the requests of the drained burst are refused by a full
     * queue. Their tokens must not be added on top of the full bucket.
     */
    @Test
    void returnedTokensNeverExceedTheBurst() {
        TestFleet fleet = TestFleet.started(5, 1, RATE, BURST);
        TestFleet.Node node = fleet.node(0);
        List<Take.Taken> taken = Stream.generate(
                        () -> node.limits.take(node.local(), TestFleet.SERVICE, TestFleet.ACCOUNT, outcome -> {}))
                .limit(BURST)
                .map(Take.Taken.class::cast)
                .toList();
        fleet.run(10_000);
        taken.forEach(token -> node.limits.giveBack(TestFleet.SERVICE, TestFleet.ACCOUNT, token.takeSequence()));
        for (int count = 0; count < 3 * BURST; count++) {
            node.request();
        }

        assertThat(fleet.windows.overshootMilliTokens()).isEqualTo(0);
    }

    private static void overload(TestFleet fleet, long millis) {
        fleet.traffic(millis, OVERLOAD, time -> fleet.node(fleet.random.nextInt(fleet.nodes.size())));
    }

    private static void trafficToEither(TestFleet fleet, long millis, double perSecond, int one, int other) {
        fleet.traffic(millis, perSecond, time -> fleet.node(fleet.random.nextBoolean() ? one : other));
    }
}
