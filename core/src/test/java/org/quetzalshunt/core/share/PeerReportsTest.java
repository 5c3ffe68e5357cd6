package org.quetzalshunt.core.share;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Reports of peers that are lost, late, repeated or absurd. */
final class PeerReportsTest {
    private final ShareFixture fixture = new ShareFixture(1_000);

    /** Guards against slots that stay counted for a lost VM, and against a dip when a report is merely late. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 30, 300})
    void theUseOfLostPeersFadesWithinTwoSeconds(int peers) {
        for (int peer = 0; peer < peers; peer++) {
            fixture.report("vm" + peer, Map.of("a", 1.5));
        }
        fixture.advance(800);
        assertThat(fixture.slotsOf("a")).isWithin(0.01).of(1.5 * peers);
        fixture.advance(600);
        assertThat(fixture.slotsOf("a")).isWithin(0.01).of(1.5 * peers / 2);
        fixture.advance(600);
        assertThat(fixture.slotsOf("a")).isEqualTo(0.0);
    }

    /** A report that arrives twice must not count twice, and a later one replaces it even if it lists less. */
    @Test
    void aReportReplacesThePreviousOne() {
        fixture.report("vm1", Map.of("a", 40.0, "b", 3.0));
        fixture.report("vm1", Map.of("a", 40.0, "b", 3.0));
        assertThat(fixture.slotsOf("a")).isWithin(0.01).of(40);
        fixture.report("vm1", Map.of("b", 5.0));
        fixture.advance(50);
        assertThat(fixture.slotsOf("a")).isEqualTo(0.0);
        assertThat(fixture.slotsOf("b")).isWithin(0.01).of(5);
    }

    @ParameterizedTest
    @ValueSource(doubles = {Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, -1})
    void valuesThatAreNoUseAreDroppedAndCounted(double value) {
        fixture.report("vm1", Map.of("a", value, "b", 2.0, "x".repeat(10_000), 1.0));
        fixture.shares.onPeerReport(fixture.now, "vm1", Map.of("unknown", Map.of("a", 1.0)));
        assertThat(fixture.slotsOf("a")).isEqualTo(0.0);
        assertThat(fixture.slotsOf("b")).isWithin(0.01).of(2);
        assertThat(fixture.shares.boundedEntries()).isEqualTo(3);
    }

    /** Guards against a faulty VM whose report lets all accounts appear above their shares. */
    @Test
    void aPeersUseIsLimitedToWhatTheServiceHolds() {
        fixture.report("vm1", Map.of("a", 1e12, "b", 1e12));
        assertThat(fixture.slotsOf("a") + fixture.slotsOf("b")).isAtMost(1_000.01);
        assertThat(fixture.shares.boundedEntries()).isEqualTo(2);
    }

    /** Guards against memory that grows with the names that peers invent. */
    @Test
    void thousandsOfAccountsAreBoundedAndCounted() {
        for (int peer = 0; peer < 300; peer++) {
            Map<String, Double> use = new HashMap<>();
            for (int account = 0; account < 3_000; account++) {
                use.put(peer + "-" + account, 0.1);
            }
            fixture.report("vm" + peer, use);
        }
        assertThat(fixture.shares.boundedEntries()).isEqualTo(300L * (3_000 - ServiceShares.MAXIMUM_ENTRIES));
        ServiceStatus status = fixture.shares.status(fixture.now).get(0);
        assertThat(status.accounts()).hasSize(32);
        assertThat(status.unnamedSlots())
                .isWithin(0.1)
                .of(0.1 * (300 * ServiceShares.MAXIMUM_ENTRIES - ServiceShares.MAXIMUM_ACCOUNTS));
        fixture.advance(2_000);
        assertThat(fixture.shares.status(fixture.now).get(0).accounts()).isEmpty();
    }
}
