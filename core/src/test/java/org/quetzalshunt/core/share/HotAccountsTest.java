package org.quetzalshunt.core.share;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Three of 76 accounts of very unequal size at five times their usual load. */
final class HotAccountsTest {
    private static ShareSimulation run(ShareSimulation.Mode mode, int vms, double load, List<Integer> hot) {
        double[] rates = ShareSimulation.unequalRates(76, 192, load);
        ShareSimulation.RateFactor factor = (account, millis) -> hot.contains(account) && millis > 4_000 ? 5 : 1;
        return ShareSimulation.run(new ShareSimulation.Shape(vms, 192, rates, factor, 25_000), mode, 6_000);
    }

    /**
     * Guards against hot accounts, numbered by size, that take the slots of the others; and against equal shares, which
     * cut large accounts at their usual load.
     */
    @ParameterizedTest
    @CsvSource({
        "1, 0.75, 0 1 2, 0.2, 1",
        "8, 0.85, 0 1 2, 0.2, 1",
        "30, 0.75, 0 1 2, 0.2, 1",
        "1, 0.85, 1 4 7, 0.3, 0.95",
        "30, 0.85, 1 4 7, 0.3, 0.95",
        "30, 0.85, 10 20 30, 1, 1"
    })
    void hotAccountsLowerTheServedPartOfOthersByAtMostFiveInHundred(
            int vms, double load, String hotAccounts, double mostWithoutShares, double mostWithEqualShares) {
        List<Integer> hot =
                Arrays.stream(hotAccounts.split(" ", -1)).map(Integer::valueOf).toList();
        double usual = run(ShareSimulation.Mode.QUOTA, vms, load, List.of()).servedPart(each -> !hot.contains(each));
        for (ShareSimulation.Mode mode : ShareSimulation.Mode.values()) {
            double served = run(mode, vms, load, hot).servedPart(each -> !hot.contains(each));
            switch (mode) {
                case OFF -> assertThat(served).isAtMost(mostWithoutShares);
                case EQUAL -> assertThat(served).isAtMost(mostWithEqualShares);
                case QUOTA -> assertThat(served).isAtLeast(usual - 0.05);
            }
        }
    }

    /** An account within its usual load must not be refused while the service keeps up. */
    @ParameterizedTest
    @CsvSource({"1, 0.6", "8, 0.75", "30, 0.85"})
    void nobodyIsRefusedInCalm(int vms, double load) {
        long refused = Arrays.stream(run(ShareSimulation.Mode.QUOTA, vms, load, List.of()).refused)
                .sum();
        assertThat(refused).isEqualTo(0);
    }
}
