package org.quetzalshunt.core.share;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An account that was idle while others used its share, and returns; and one that stops. */
final class ReturnFromIdleTest {
    private static final long RETURN_MILLIS = 8_000;

    /** Guards against an account that has to wait for its share until programs of the others have ended. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 30})
    void aReturningAccountIsServedFromItsFirstProgram(int vms) {
        double full = 96 / ShareSimulation.SLOT_SECONDS_PER_PROGRAM;
        double[] rates = {full / 3, full / 3, full / 3};
        ShareSimulation.Shape shape = new ShareSimulation.Shape(
                vms,
                96,
                rates,
                (account, millis) -> account > 0 ? 3 : millis < RETURN_MILLIS ? 0 : 0.75,
                RETURN_MILLIS + 5_000 + 3_500);
        ShareSimulation simulation = ShareSimulation.run(shape, ShareSimulation.Mode.QUOTA, RETURN_MILLIS);
        assertThat(simulation.servedPart(account -> account == 0)).isAtLeast(0.95);
        assertThat(ShareSimulation.run(shape, ShareSimulation.Mode.OFF, RETURN_MILLIS)
                        .servedPart(account -> account == 0))
                .isLessThan(0.5);
    }

    /** Guards against a share that stays reserved for an account that has stopped. */
    @Test
    void theShareOfAnAccountThatStopsGoesToOthersWithinASecond() {
        ShareFixture fixture = new ShareFixture(100);
        fixture.start("first", 50);
        fixture.start("second", 80);
        fixture.advance(2_000);
        assertThat(fixture.isAboveShare("second")).isTrue();
        fixture.finish("first", 50);
        fixture.advance(1_000);
        assertThat(fixture.isAboveShare("second")).isFalse();
        assertThat(fixture.shares
                        .account(fixture.now, ShareFixture.SERVICE, "first")
                        .slots())
                .isAtMost(2.0);
    }
}
