package org.quetzalshunt.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.dispatch.FleetModel.Load;

/** Load pattern: after an outage 1,200 callers return within 10 ms, six for each slot. */
final class ReturnAtOnceTest {
    private static final Load[] LOADS = {
        new Load(FleetModel.URGENT, 0, 10_000, 350),
        new Load(FleetModel.BATCH, 0, 10_000, 350),
        new Load(FleetModel.URGENT, 4_000, 4_010, 400),
        new Load(FleetModel.BATCH, 4_000, 4_010, 800)
    };

    /** Guards against a crowd that is sent whole, since each gateway sees all slots free: nearly all would be late. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 30, 300})
    void aCrowdIsServedInPartsRatherThanAllLate(int gateways) {
        FleetModel before = FleetModel.withoutQueue(gateways, LOADS);
        FleetModel model = FleetModel.withQueue(gateways, LOADS);

        assertThat(model.value()).isAtLeast(1.08 * before.value());
        assertThat(model.of(FleetModel.BATCH).inTimeShare())
                .isGreaterThan(before.of(FleetModel.BATCH).inTimeShare());
        assertThat(model.of(FleetModel.URGENT).inTimeShare())
                .isGreaterThan(model.of(FleetModel.BATCH).inTimeShare());
    }
}
