package org.quetzalshunt.core.limit;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Long runs from fixed seeds with every supported fault, in random order and in combination. */
final class FleetLimitsRandomTest {
    private static final int STEPS = 300;

    /**
     * A tenant sends one to four times its rate to a fleet whose entries crash, pause, restart and lose the connection
     * to each other and to the log, while messages are lost, duplicated and delayed and operators change the limits.
     * Guards against a window with more than rate and burst in any order of these faults.
     */
    @ParameterizedTest(name = "{0} entries, seed {1}")
    @CsvSource({"3, 1", "3, 2", "3, 3", "3, 4", "3, 5", "3, 6", "12, 1", "12, 2", "12, 3", "12, 4"})
    void everyWindowStaysWithinRateAndBurst(int size, long seed) {
        TestFleet fleet = TestFleet.started(seed, size, 50, 40);
        fleet.lossProbability = 0.03;
        fleet.duplicationProbability = 0.03;
        fleet.delayProbability = 0.02;
        fleet.giveBackProbability = 0.1;
        for (int step = 0; step < STEPS; step++) {
            if (step % 3 == 0) {
                injectFault(fleet);
            }
            double load = 50 * (1 + fleet.random.nextInt(4));
            fleet.traffic(500 + fleet.random.nextLong(1_000), load, time -> fleet.node(fleet.random.nextInt(size)));
        }

        assertThat(fleet.invariantViolations()).isEqualTo(0);
        assertThat(fleet.windows.count()).isGreaterThan(1_000);
        assertWithMessage("tokens over the bound, in thousandths")
                .that(fleet.windows.overshootMilliTokens())
                .isEqualTo(0);
    }

    private static void injectFault(TestFleet fleet) {
        TestFleet.Node node = fleet.node(fleet.random.nextInt(fleet.nodes.size()));
        TestFleet.Node other = fleet.node(fleet.random.nextInt(fleet.nodes.size()));
        switch (fleet.random.nextInt(30)) {
            case 0, 1, 2 -> node.crash();
            case 3, 4 -> node.restart();
            case 5, 6, 7 -> node.pause(fleet.random.nextLong(8_000));
            case 8, 9 -> fleet.cutLink(node, other);
            case 10, 11 -> fleet.isolate(node);
            case 12 -> node.cutFromLog = true;
            case 13 -> fleet.logDown = true;
            case 14, 15 -> fleet.setLimit(20 + fleet.random.nextLong(60), 5 + fleet.random.nextLong(50));
            case 16 -> fleet.forAll(TestFleet.Node::restart);
            case 17, 18, 19, 20 -> fleet.heal();
            default ->
                fleet.forAll(each -> {
                    if (each.crashed) {
                        each.restart();
                    }
                });
        }
    }
}
