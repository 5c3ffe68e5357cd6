package org.quetzalshunt.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.dispatch.FleetModel.Load;

/** Load pattern: programs with three sub-agents in each step run beside a burst of many short programs. */
final class SubAgentsTest {
    private static final FleetModel.Kind LONG = new FleetModel.Kind(1, 10, 5_000, 3);

    /** Guards against long programs that starve behind short ones, since each of their turns needs a slot again. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 30, 300})
    void longProgramsAreServedAsOftenAsShortOnes(int gateways) {
        FleetModel model = FleetModel.withQueue(
                gateways,
                new Load(LONG, 0, 10_000, 40),
                new Load(FleetModel.URGENT, 0, 10_000, 300),
                new Load(FleetModel.BATCH, 0, 10_000, 300),
                new Load(FleetModel.BATCH, 4_000, 9_000, 900));

        assertThat(model.of(LONG).inTimeShare()).isAtLeast(0.95);
        assertThat(model.of(FleetModel.URGENT).inTimeShare()).isAtLeast(0.97);
        assertThat(model.of(FleetModel.BATCH).inTimeShare()).isAtLeast(0.95);
    }
}
