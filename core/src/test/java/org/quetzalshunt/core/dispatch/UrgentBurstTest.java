package org.quetzalshunt.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.dispatch.FleetModel.Load;

/** Load pattern: a burst of the urgent kind reaches a fleet that less urgent programs have filled. */
final class UrgentBurstTest {
    private static final Load[] LOADS = {
        new Load(FleetModel.URGENT, 0, 10_000, 100),
        new Load(FleetModel.BATCH, 0, 10_000, 1_600),
        new Load(FleetModel.URGENT, 4_000, 9_000, 500)
    };

    /** Guards against urgent programs that wait behind less urgent ones, and against a loss of all the others. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 30, 300})
    void urgentProgramsGoFirst(int gateways) {
        FleetModel before = FleetModel.withoutQueue(gateways, LOADS);
        FleetModel model = FleetModel.withQueue(gateways, LOADS);

        double urgent = model.of(FleetModel.URGENT).inTimeShare();
        double batch = model.of(FleetModel.BATCH).inTimeShare();
        assertThat(urgent).isAtLeast(0.97);
        assertThat(urgent).isAtLeast(batch - 0.05);
        assertThat(batch).isAtLeast(before.of(FleetModel.BATCH).inTimeShare() + 0.2);
    }

    /** Guards against engines that read prompts again because requests of several priorities meet there. */
    @ParameterizedTest
    @ValueSource(ints = {8, 30, 300})
    void onePriorityAtEnginesServesBothKindsBetter(int gateways) {
        FleetModel chosen = FleetModel.withQueue(gateways, LOADS);
        for (FleetModel.Ranking other :
                new FleetModel.Ranking[] {FleetModel.Ranking.ACCOUNT_AND_ROUTE, FleetModel.Ranking.SLACK}) {
            FleetModel model = FleetModel.ranked(gateways, other, LOADS);
            assertThat(chosen.preemptions).isLessThan(model.preemptions / 4);
            assertThat(chosen.of(FleetModel.URGENT).inTimeShare())
                    .isAtLeast(model.of(FleetModel.URGENT).inTimeShare());
            assertThat(chosen.of(FleetModel.BATCH).inTimeShare())
                    .isAtLeast(model.of(FleetModel.BATCH).inTimeShare());
        }
    }
}
