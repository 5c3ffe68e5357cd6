package org.quetzalshunt.core.limit;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Breaks each safety mechanism on purpose and verifies that the window check detects it. */
final class FleetLimitsBreakTest {
    private static final long RATE = 50;
    private static final long BURST = 40;

    /** A broken safety mechanism, and the fault that the intact mechanism survives. */
    private record Mutation(String name, Consumer<TestFleet> apply, Consumer<TestFleet> injectFault) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Mutation> breaks() {
        return Stream.of(
                new Mutation(
                        "a doubled transfer counts twice",
                        fleet -> fleet.network = FleetLimitsBreakTest::duplicateAsNewTransfer,
                        fleet -> {}),
                new Mutation(
                        "a transfer grows on its way",
                        fleet -> fleet.network = FleetLimitsBreakTest::enlargeTransfer,
                        fleet -> {}),
                new Mutation(
                        "a lease does not run out",
                        fleet -> fleet.restartWith(1, new LimitSettings(1_000_000, 10_000, 200)),
                        FleetLimitsBreakTest::isolateTheHolder),
                new Mutation(
                        "a paused VM's clock stands still", fleet -> fleet.node(1).clockStopsInPause = true, fleet -> {
                            fleet.isolate(fleet.node(1));
                            fleet.node(1).pause(9_000);
                        }),
                new Mutation(
                        "reclaimed parts are granted too early",
                        fleet -> {
                            fleet.restartWith(0, new LimitSettings(200, 0, 200));
                            fleet.restartWith(2, new LimitSettings(200, 0, 200));
                        },
                        FleetLimitsBreakTest::isolateTheHolder),
                new Mutation(
                        "survivors report nothing of what they hold",
                        fleet -> fleet.network = FleetLimitsBreakTest::clearReport,
                        fleet -> fleet.node(1).crash()));
    }

    /**
     * A safety mechanism is broken, a tenant sends ten times its rate, and the fault occurs. If the check still found
     * every window within its bound, its results in the other tests would prove nothing.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("breaks")
    void windowCheckDetectsTheMutation(Mutation mutation) {
        TestFleet fleet = TestFleet.started(7, 3, RATE, BURST);
        mutation.apply().accept(fleet);
        overload(fleet, 20_000);
        mutation.injectFault().accept(fleet);
        overload(fleet, 20_000);

        assertThat(fleet.windows.overshootMilliTokens()).isGreaterThan(0);
    }

    /** Isolates the second entry after it has received all traffic and therefore nearly every part. */
    private static void isolateTheHolder(TestFleet fleet) {
        fleet.traffic(2_000, 10 * RATE, time -> fleet.node(1));
        fleet.isolate(fleet.node(1));
    }

    private static void overload(TestFleet fleet, long millis) {
        fleet.traffic(millis, 10 * RATE, time -> fleet.node(fleet.random.nextInt(fleet.nodes.size())));
    }

    private static List<LimitMessage> duplicateAsNewTransfer(LimitMessage message) {
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

    private static List<LimitMessage> enlargeTransfer(LimitMessage message) {
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

    private static List<LimitMessage> clearReport(LimitMessage message) {
        if (!(message instanceof LimitMessage.CarryReport report)) {
            return List.of(message);
        }
        return List.of(new LimitMessage.CarryReport(report.generation(), List.of()));
    }
}
