package org.quetzalshunt.core.share;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A single account that needs more than all slots: nobody else can use what it is refused. */
final class SoleAccountTest {
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 30})
    void aSoleAccountIsNeverRefused(int vms) {
        double[] rates = {48 / ShareSimulation.SLOT_SECONDS_PER_PROGRAM};
        ShareSimulation.Shape shape = new ShareSimulation.Shape(vms, 48, rates, (account, millis) -> 1.2, 15_000);
        ShareSimulation simulation = ShareSimulation.run(shape, ShareSimulation.Mode.QUOTA, 3_000);
        assertThat(simulation.refused[0]).isEqualTo(0);
        assertThat(simulation.slotMillis[0] / (48 * 12_000)).isAtLeast(0.98);
    }

    /** The slots that the others leave must not stay idle while one account asks for more. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 30})
    void aLargeAccountGetsAllThatSmallOnesLeave(int vms) {
        double[] rates = {48 / ShareSimulation.SLOT_SECONDS_PER_PROGRAM, 1, 1};
        ShareSimulation.Shape shape =
                new ShareSimulation.Shape(vms, 48, rates, (account, millis) -> account == 0 ? 2 : 1, 15_000);
        ShareSimulation simulation = ShareSimulation.run(shape, ShareSimulation.Mode.QUOTA, 3_000);
        assertThat(simulation.slotMillis[0] / (48 * 12_000)).isAtLeast(0.85);
        assertThat(simulation.servedPart(account -> account > 0)).isAtLeast(0.95);
    }
}
