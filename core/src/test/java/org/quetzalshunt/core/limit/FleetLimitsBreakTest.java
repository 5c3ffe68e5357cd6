package org.quetzalshunt.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Breaks each guard on purpose: the window check must see every one of them. */
final class FleetLimitsBreakTest {
    private static final long RATE = 50;
    private static final long BURST = 40;

    /** A break by its name, and the failure that the broken guard should have survived. */
    private record Break(String name, Consumer<TestFleet> breakIt, Consumer<TestFleet> strike) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Break> breaks() {
        return Stream.of(
                new Break(
                        "a doubled transfer counts twice",
                        fleet -> fleet.network = FleetLimitsBreakTest::asAnotherTransfer,
                        fleet -> {}),
                new Break(
                        "a transfer grows on its way",
                        fleet -> fleet.network = FleetLimitsBreakTest::grown,
                        fleet -> {}),
                new Break(
                        "a lease does not run out",
                        fleet -> fleet.restartWith(1, new LimitSettings(1_000_000, 10_000, 200)),
                        FleetLimitsBreakTest::cutOffTheHolder),
                new Break(
                        "a paused VM's clock stands still", fleet -> fleet.node(1).clockStopsInPause = true, fleet -> {
                            fleet.cutOff(fleet.node(1));
                            fleet.node(1).pause(9_000);
                        }),
                new Break(
                        "reclaimed parts are granted too early",
                        fleet -> {
                            fleet.restartWith(0, new LimitSettings(200, 0, 200));
                            fleet.restartWith(2, new LimitSettings(200, 0, 200));
                        },
                        FleetLimitsBreakTest::cutOffTheHolder),
                new Break(
                        "survivors report nothing of what they hold",
                        fleet -> fleet.network = FleetLimitsBreakTest::emptyReport,
                        fleet -> fleet.node(1).crash()));
    }

    /**
     * The guard is broken, a tenant sends ten times its rate, and the failure strikes. If the check still found every
     * window within its bound, its other results would be worth nothing.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("breaks")
    void windowCheckSeesTheBreak(Break broken) {
        TestFleet fleet = TestFleet.started(7, 3, RATE, BURST);
        broken.breakIt().accept(fleet);
        overload(fleet, 20_000);
        broken.strike().accept(fleet);
        overload(fleet, 20_000);

        assertThat(fleet.windows.overshootMilliTokens()).isGreaterThan(0);
    }

    /** Cuts off the second entry once all traffic, and so nearly every part, is there. */
    private static void cutOffTheHolder(TestFleet fleet) {
        fleet.traffic(2_000, 10 * RATE, time -> fleet.node(1));
        fleet.cutOff(fleet.node(1));
    }

    private static void overload(TestFleet fleet, long millis) {
        fleet.traffic(millis, 10 * RATE, time -> fleet.node(fleet.random.nextInt(fleet.nodes.size())));
    }

    private static List<LimitMessage> asAnotherTransfer(LimitMessage message) {
        if (!(message instanceof LimitMessage.Transfer transfer)) {
            return List.of(message);
        }
        return List.of(
                message,
                new LimitMessage.Transfer(
                        transfer.generation(),
                        transfer.transfer() + 1_000_000,
                        transfer.settledBelow(),
                        transfer.key(),
                        transfer.parts(),
                        transfer.microTokens()));
    }

    private static List<LimitMessage> grown(LimitMessage message) {
        if (!(message instanceof LimitMessage.Transfer transfer)) {
            return List.of(message);
        }
        return List.of(new LimitMessage.Transfer(
                transfer.generation(),
                transfer.transfer(),
                transfer.settledBelow(),
                transfer.key(),
                transfer.parts() * 3 / 2,
                transfer.microTokens() * 3 / 2));
    }

    private static List<LimitMessage> emptyReport(LimitMessage message) {
        if (!(message instanceof LimitMessage.CarryReport report)) {
            return List.of(message);
        }
        return List.of(new LimitMessage.CarryReport(report.generation(), List.of()));
    }
}
