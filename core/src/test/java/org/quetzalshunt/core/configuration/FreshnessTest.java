package org.quetzalshunt.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A node that is cut off must stop serving, or a withdrawn key would work for as long as the link is cut. During an
 * outage of the log itself, in which no key can be withdrawn, all nodes must continue to serve. Only its peers' reports
 * let a node distinguish the two cases.
 */
final class FreshnessTest {
    private static final long LIMIT_MILLIS = 2_000;
    private static final long NOW_MILLIS = 100_000;
    private static final long OWN_NEXT = 7;

    private final Freshness freshness = Freshness.create(LIMIT_MILLIS);

    @ParameterizedTest
    @CsvSource({
        "500, true, reads the log",
        "2000, true, read it just in time",
        "2001, false, cut off alone",
    })
    void anOwnReadKeepsANodeFreshUntilTheLimit(long readAge, boolean fresh, String ignoredCase) {
        freshness.setPeers(List.of("b", "c"));
        freshness.onReadToEnd(NOW_MILLIS - readAge);
        assertThat(freshness.isFresh(NOW_MILLIS, OWN_NEXT)).isEqualTo(fresh);
    }

    @ParameterizedTest
    @CsvSource({
        // For b, then for c: next offset, age of its last read, age of its report. Then the expected result.
        "7, 50000, 100, 7, 50000, 100, true, a whole outage of the log",
        "7, 50000, 100, 7, 50000, 2500, false, one peer is silent",
        "7, 300, 100, 7, 50000, 2500, true, one peer reads the log and has no news",
        "7, 300, 2500, 6, 50000, 2500, false, what that peer said is old",
        "8, 300, 100, 7, 50000, 100, false, one peer has news",
        "7, 300, 100, 9, 50000, 3000, false, one peer had news before it went silent",
        "0, -1, 100, 7, 50000, 100, true, a peer was replaced during the outage",
    })
    void peerReportsKeepANodeFreshOnlyIfAllReportOrOneReadTheLog(
            long nextOfB,
            long readAgeOfB,
            long reportAgeOfB,
            long nextOfC,
            long readAgeOfC,
            long reportAgeOfC,
            boolean fresh,
            String ignoredCase) {
        freshness.onReadToEnd(NOW_MILLIS - 50_000);
        freshness.setPeers(List.of("b", "c"));
        freshness.onPeerReport("b", nextOfB, readAgeOfB, NOW_MILLIS - reportAgeOfB);
        freshness.onPeerReport("c", nextOfC, readAgeOfC, NOW_MILLIS - reportAgeOfC);
        assertThat(freshness.isFresh(NOW_MILLIS, OWN_NEXT)).isEqualTo(fresh);
    }

    @Test
    void aNodeWithoutAPeerListIsNotFreshForLackOfReports() {
        assertThat(freshness.isFresh(NOW_MILLIS, OWN_NEXT)).isFalse();
        assertThat(freshness.ageMillis(NOW_MILLIS)).isEqualTo(-1);
        freshness.setPeers(List.of("b"));
        assertThat(freshness.isFresh(NOW_MILLIS, OWN_NEXT)).isFalse();
        freshness.onPeerReport("b", OWN_NEXT, -1, NOW_MILLIS - 10);
        assertThat(freshness.isFresh(NOW_MILLIS, OWN_NEXT)).isTrue();
        freshness.setPeers(List.of("b", "newcomer"));
        assertThat(freshness.isFresh(NOW_MILLIS, OWN_NEXT)).isFalse();
    }
}
