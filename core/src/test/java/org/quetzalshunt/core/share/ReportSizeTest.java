package org.quetzalshunt.core.share;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalshunt.core.routing.BroadcastInterval;

/** Reports of 1 to 300 VMs on the use of up to 1,000 accounts. */
final class ReportSizeTest {
    /** An account name of 15 characters, and 9 bytes for its length and the number. */
    private static final int ENTRY_BYTES = 15 + 9;

    /** Names of two services and headers of the maps. */
    private static final int OTHER_BYTES = 20;

    /** Guards against reports that take a large part of the smallest VM's 15 Mbit/s. */
    @ParameterizedTest
    @CsvSource({
        "1, 1000, 0",
        "8, 76, 24000",
        "30, 76, 90000",
        "30, 1000, 90000",
        "300, 76, 145000",
        "300, 1000, 145000",
    })
    void bytesPerSecondStayBounded(int vms, int accounts, double maximumBytesPerSecond) {
        AccountShares shares = AccountShares.create(account -> 1, 1);
        for (String service : new String[] {"s", "t"}) {
            shares.setService(0, service, 100, true);
            for (int account = 0; account < accounts; account++) {
                shares.started(0, service, "account" + account);
            }
        }
        int localPeers = Math.max(0, vms / 6 - 1);
        double messages = BroadcastInterval.messagesPerSecond(localPeers, vms - 1 - localPeers);
        Map<String, Map<String, Double>> report = shares.report(1_000, ReportSize.accounts(messages));
        int entries = report.values().stream().mapToInt(Map::size).sum();
        assertThat(entries).isAtMost(ReportSize.MAXIMUM_ACCOUNTS + 2);
        assertThat(messages * (entries * ENTRY_BYTES + OTHER_BYTES)).isAtMost(maximumBytesPerSecond);
    }

    /** The use of accounts that a report leaves out must not look like free slots. */
    @Test
    void theSmallestAccountsAreAddedUp() {
        ShareFixture fixture = new ShareFixture(100);
        for (int account = 0; account < 1_000; account++) {
            fixture.start("account" + account, 1 + account / 500);
        }
        Map<String, Double> use = fixture.shares.report(fixture.now + 5_000, 8).get(ShareFixture.SERVICE);
        assertThat(use).hasSize(9);
        assertThat(use.get(ServiceShares.UNNAMED)).isWithin(0.1).of(1_500 - 16);
    }

    /** With 300 VMs, each reports a few accounts only; the hot ones among 1,000 must still be recognised. */
    @Test
    void threeHundredVmsRecogniseHotAccounts() {
        double[] rates = ShareSimulation.unequalRates(1_000, 600, 0.85);
        ShareSimulation.Shape shape = new ShareSimulation.Shape(
                300, 600, rates, (account, millis) -> account < 3 && millis > 1_500 ? 5 : 1, 10_000);
        assertThat(ShareSimulation.run(shape, ShareSimulation.Mode.QUOTA, 3_000).servedPart(account -> account >= 3))
                .isAtLeast(0.95);
    }
}
