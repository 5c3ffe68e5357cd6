package org.quetzalshunt.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.dispatch.FleetModel.Load;

/** Load pattern: for five seconds four times the usual number of less urgent programs start. */
final class LessUrgentBurstTest {
    private static final Load[] LOADS = {
        new Load(FleetModel.URGENT, 0, 10_000, 350),
        new Load(FleetModel.BATCH, 0, 10_000, 350),
        new Load(FleetModel.BATCH, 4_000, 9_000, 1_250)
    };

    /** Guards against a burst that makes all programs of its kind late, or the urgent ones with it. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 30, 300})
    void moreProgramsAreInTimeAndUrgentOnesKeepTheirs(int gateways) {
        FleetModel before = FleetModel.withoutQueue(gateways, LOADS);
        FleetModel model = FleetModel.withQueue(gateways, LOADS);

        assertThat(model.of(FleetModel.URGENT).inTimeShare()).isAtLeast(0.97);
        assertThat(before.of(FleetModel.BATCH).inTimeShare()).isLessThan(0.6);
        assertThat(model.of(FleetModel.BATCH).inTimeShare()).isAtLeast(0.8);
        assertThat(model.value()).isGreaterThan(before.value());
    }

    /** Guards against callers that wait in vain: for long before a refusal, or beyond the limit of the wait. */
    @ParameterizedTest
    @ValueSource(ints = {1, 30, 300})
    void waitsAreBounded(int gateways) {
        FleetModel.Result batch = FleetModel.withQueue(gateways, LOADS).of(FleetModel.BATCH);

        assertThat(batch.refusals).isGreaterThan(0);
        assertThat(batch.longestHeldRefusal).isAtMost(FleetModel.TARGET_LATENCY_MILLIS / 4);
        assertThat(batch.longestAdded).isAtMost(610);
    }
}
