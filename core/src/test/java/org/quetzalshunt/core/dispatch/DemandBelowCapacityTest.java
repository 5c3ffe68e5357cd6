package org.quetzalshunt.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.dispatch.FleetModel.Load;

/** Load pattern: demand at two thirds of the capacity. */
final class DemandBelowCapacityTest {
    /** Guards against a queue that delays or refuses programs although slots are free. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 30, 300})
    void nothingWaitsAndNothingIsRefused(int gateways) {
        FleetModel model = FleetModel.withQueue(
                gateways, new Load(FleetModel.URGENT, 0, 8_000, 500), new Load(FleetModel.BATCH, 0, 8_000, 600));

        for (FleetModel.Kind kind : new FleetModel.Kind[] {FleetModel.URGENT, FleetModel.BATCH}) {
            assertThat(model.of(kind).longestAdded).isEqualTo(0);
            assertThat(model.of(kind).refusals).isEqualTo(0);
            assertThat(model.of(kind).inTimeShare()).isEqualTo(1.0);
        }
    }
}
